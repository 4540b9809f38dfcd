#include "libs/requests/request_table.h"

#include <algorithm>
#include <cassert>

namespace ibisladder::requests {
namespace {

bool IsUnfinished(RecordState state) {
  return state == RecordState::kQueued || state == RecordState::kDispatched;
}

bool IsIssuedHere(const RequestTable& table, const Ticket& ticket) {
  return ticket.instance == table.settings.instance &&
         ticket.incarnation == table.settings.incarnation;
}

/// Returns the era that is `eras` before `era`, or era 0 when there are fewer.
Era EraBefore(Era era, std::uint32_t eras) {
  return Era(era.value() - std::min(era.value(), eras));
}

void RaiseOldestAccepted(RequestTable& table) {
  table.oldest_accepted =
      std::max(table.oldest_accepted,
               EraBefore(table.current, table.settings.accepted_eras));
}

void ForgetOldEras(RequestTable& table) {
  const Era oldest_kept =
      EraBefore(table.oldest_accepted, table.settings.kept_eras);
  for (auto it = table.eras.begin();
       it != table.eras.end() && it->first < oldest_kept;) {
    if (it->second.unfinished > 0) {
      ++it;
      continue;
    }
    table.accepted -= it->second.accepted;
    table.refused -= it->second.refused;
    table.answer_bytes -= it->second.answer_bytes;
    it = table.eras.erase(it);
  }
}

std::size_t SizeOf(const KeptAnswer& answer) {
  std::size_t n = answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    n += name.size() + value.size();
  }
  return n;
}

/// Era and record of an id; both null when it has no record.
struct Location {
  EraRecords* era = nullptr;
  Record* record = nullptr;
};

Location Locate(RequestTable& table, const RequestId& id) {
  if (!IsIssuedHere(table, id.ticket)) return {};
  const auto era = table.eras.find(id.ticket.era);
  if (era == table.eras.end()) return {};
  const auto it = era->second.records.find(id.caller_part);
  if (it == era->second.records.end()) return {};
  return {&era->second, &it->second};
}

void DropAnswer(RequestTable& table, EraRecords& era, Record& record) {
  if (!record.answer) return;
  const std::size_t n = SizeOf(*record.answer);
  era.answer_bytes -= n;
  table.answer_bytes -= n;
  record.answer.reset();
}

void DropOldestAnswers(RequestTable& table) {
  for (auto& [number, era] : table.eras) {
    while (!era.answered.empty()) {
      if (table.answer_bytes <= table.settings.max_kept_answer_bytes) return;
      DropAnswer(table, era, *era.answered.front());
      era.answered.pop_front();
    }
  }
}

/// Moves an unfinished record to a final state; returns null when there is
/// none.
Record* Finish(RequestTable& table, const RequestId& id, RecordState state,
               ResultCode code) {
  const Location it = Locate(table, id);
  if (it.record == nullptr || !IsUnfinished(it.record->state)) return nullptr;
  --it.era->unfinished;
  it.record->state = state;
  it.record->code = code;
  return it.record;
}

Record& Insert(RequestTable& table, const RequestId& id) {
  return table.eras[id.ticket.era].records[id.caller_part];
}

}  // namespace

RequestTable MakeRequestTable(const TableSettings& settings, Era current) {
  RequestTable table;
  table.settings = settings;
  table.current = current;
  RaiseOldestAccepted(table);
  return table;
}

Admission Admit(RequestTable& table, const RequestId& id,
                const Fingerprint& fingerprint) {
  if (const Record* record = FindRecord(table, id)) {
    // A kNotRun record applies to any request under its id.
    const bool differs =
        record->fingerprint && *record->fingerprint != fingerprint;
    if (differs && record->state != RecordState::kNotRun) {
      return Rejected{ResultCode::kRequestIdReused};
    }
    return Repeated{record};
  }
  if (!IsIssuedHere(table, id.ticket) || !IsAccepted(table, id.ticket.era)) {
    return Rejected{RefuseUnrecorded(table, id, ResultCode::kEraTooNew)};
  }
  if (table.accepted >= table.settings.max_records ||
      table.eras[id.ticket.era].closed) {
    return Rejected{RefuseUnrecorded(table, id, ResultCode::kRequestTableFull)};
  }
  Record& record = Insert(table, id);
  record.fingerprint = fingerprint;
  EraRecords& era = table.eras[id.ticket.era];
  ++era.unfinished;
  ++era.accepted;
  ++table.accepted;
  return Admitted{};
}

ResultCode RefuseUnrecorded(RequestTable& table, const RequestId& id,
                            ResultCode code) {
  if (!IsIssuedHere(table, id.ticket)) return ResultCode::kHomeReplaced;
  if (id.ticket.era < table.oldest_accepted) return ResultCode::kEraExpired;
  EraRecords* era = nullptr;
  if (const auto it = table.eras.find(id.ticket.era); it != table.eras.end()) {
    era = &it->second;
  }
  if (era != nullptr && era->closed) return code;
  if (table.refused < table.settings.max_refusals) {
    Record& record = Insert(table, id);
    record.state = RecordState::kNotRun;
    record.code = code;
    ++table.eras[id.ticket.era].refused;
    ++table.refused;
    return code;
  }
  // A future era is not closed: that would later refuse valid calls, and the
  // era would have to be remembered until then. The outcome stays unknown
  // instead.
  if (id.ticket.era > table.current) return ResultCode::kOutcomeUncertain;
  table.eras[id.ticket.era].closed = true;
  return code;
}

void MarkDispatched(RequestTable& table, const RequestId& id) {
  const Location it = Locate(table, id);
  if (it.record == nullptr) return;
  assert(it.record->state == RecordState::kQueued);
  it.record->state = RecordState::kDispatched;
}

void MarkUndispatched(RequestTable& table, const RequestId& id) {
  const Location it = Locate(table, id);
  if (it.record == nullptr) return;
  assert(it.record->state == RecordState::kDispatched);
  it.record->state = RecordState::kQueued;
}

void MarkDone(RequestTable& table, const RequestId& id, KeptAnswer answer) {
  Record* record = Finish(table, id, RecordState::kDone, ResultCode::kDone);
  if (record == nullptr) return;
  EraRecords& era = table.eras[id.ticket.era];
  const std::size_t n = SizeOf(answer);
  record->answer = std::make_unique<KeptAnswer>(std::move(answer));
  era.answered.push_back(record);
  era.answer_bytes += n;
  table.answer_bytes += n;
  DropOldestAnswers(table);
}

void MarkNotRun(RequestTable& table, const RequestId& id, ResultCode code) {
  const Location it = Locate(table, id);
  if (it.record == nullptr || it.record->state != RecordState::kQueued) return;
  Finish(table, id, RecordState::kNotRun, code);
}

void MarkUnknown(RequestTable& table, const RequestId& id, ResultCode code) {
  Finish(table, id, RecordState::kUnknown, code);
}

void SetWindow(RequestTable& table, std::uint32_t accepted_eras,
               std::uint32_t kept_eras) {
  table.settings.accepted_eras = accepted_eras;
  table.settings.kept_eras = kept_eras;
  RaiseOldestAccepted(table);
}

void AdvanceEra(RequestTable& table, Era era) {
  if (era <= table.current) return;
  table.current = era;
  RaiseOldestAccepted(table);
  ForgetOldEras(table);
}

const Record* FindRecord(const RequestTable& table, const RequestId& id) {
  return Locate(const_cast<RequestTable&>(table), id).record;
}

ResultCode CodeOfUnrecorded(const RequestTable& table, const RequestId& id) {
  if (!IsIssuedHere(table, id.ticket)) return ResultCode::kHomeReplaced;
  if (id.ticket.era < table.oldest_accepted) return ResultCode::kEraExpired;
  return ResultCode::kOutcomeUncertain;
}

bool IsAccepted(const RequestTable& table, Era era) {
  return era <= table.current && era >= table.oldest_accepted;
}

}  // namespace ibisladder::requests
