#ifndef LIBS_REQUESTS_REQUEST_TABLE_H_
#define LIBS_REQUESTS_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/requests/fingerprint.h"
#include "libs/requests/ticket.h"

/// The home's record of the request ids that carry its tickets.
///
/// Invariants: an id may be dispatched only by the call of `Admit` that
/// returned Admitted for it, and Admit never returns Admitted twice for one id.
/// A *not run* code is returned only for an id for which Admit cannot return
/// Admitted any more.
namespace ibisladder::requests {

enum class RecordState : std::uint8_t {
  kQueued,      ///< Accepted; not sent to a server, or certainly not run there.
  kDispatched,  ///< May be running on a backend server.
  kDone,        ///< Answered; the answer may no longer be kept.
  kNotRun,      ///< Refused, settled, or ended before it ran; never will.
  kUnknown,     ///< May have run; will not be run again.
};

/// A backend server's complete answer.
struct KeptAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct Record {
  /// Absent when the id was settled or refused before a request with it was
  /// accepted.
  std::optional<Fingerprint> fingerprint;
  RecordState state = RecordState::kQueued;
  /// The result for callers in the states kDone, kNotRun and kUnknown.
  ResultCode code = ResultCode::kDone;
  /// Set in the state kDone while the answer is kept.
  std::unique_ptr<KeptAnswer> answer;
};

struct TableSettings {
  InstanceId instance;
  Incarnation incarnation;
  /// Number of eras before the current one under which a new id is accepted.
  std::uint32_t accepted_eras = 12;
  /// Number of further eras for which records are kept.
  std::uint32_t kept_eras = 12;
  /// Maximum number of records of accepted ids; new ids are refused beyond it.
  std::size_t max_records = 200000;
  /// Maximum number of records of refused ids; beyond it whole eras are closed.
  std::size_t max_refusals = 50000;
  /// Maximum total size of kept answers, in bytes; the oldest answers are
  /// dropped beyond it, their records stay.
  std::size_t max_kept_answer_bytes = 64U << 20U;
};

/// Records of one era; they are removed together.
struct EraRecords {
  /// Ids of this era that have no record yet are refused, because one was
  /// refused without a record when max_refusals was reached.
  bool closed = false;
  /// Records in the states kQueued and kDispatched.
  std::size_t unfinished = 0;
  std::size_t accepted = 0;
  /// Ids that were refused or settled before a request with them was accepted.
  std::size_t refused = 0;
  std::size_t answer_bytes = 0;
  std::unordered_map<std::string, Record> records;
  /// Records with an answer, oldest first.
  std::deque<Record*> answered;
};

struct RequestTable {
  TableSettings settings;
  Era current;
  /// New ids are accepted only from this era on. It never decreases, even when
  /// the window grows: the records of earlier eras may be gone.
  Era oldest_accepted;
  std::map<Era, EraRecords> eras;
  std::size_t accepted = 0;
  std::size_t refused = 0;
  std::size_t answer_bytes = 0;
};

/// The id is new and is recorded as kQueued; the code that called Admit must
/// run the request.
struct Admitted {};
struct Repeated {
  const Record* record = nullptr;
};
/// This call does not run the id. A *not run* code is final.
struct Rejected {
  ResultCode code = ResultCode::kInternal;
};
using Admission = std::variant<Admitted, Repeated, Rejected>;

RequestTable MakeRequestTable(const TableSettings& settings, Era current);

// Commands.

/// Accepts a request under a new id, or returns the record of a known one. A
/// request that differs from the recorded one is rejected, unless the record is
/// in the state kNotRun.
Admission Admit(RequestTable& table, const RequestId& id,
                const Fingerprint& fingerprint);
/// Refuses `id`, which must have no record. Returns `code` when the id can
/// never be accepted from now on and has not run; else an *unknown* code.
ResultCode RefuseUnrecorded(RequestTable& table, const RequestId& id,
                            ResultCode code);
/// The request may be running from now on.
void MarkDispatched(RequestTable& table, const RequestId& id);
/// The attempt certainly did not run the request, which may be dispatched
/// again.
void MarkUndispatched(RequestTable& table, const RequestId& id);
/// Has no effect on a finished record.
void MarkDone(RequestTable& table, const RequestId& id, KeptAnswer answer);
/// Has no effect unless the record is kQueued.
void MarkNotRun(RequestTable& table, const RequestId& id, ResultCode code);
/// Has no effect on a finished record.
void MarkUnknown(RequestTable& table, const RequestId& id, ResultCode code);
/// Sets accepted_eras and kept_eras, together the window. Records are removed
/// when the era next advances.
void SetWindow(RequestTable& table, std::uint32_t accepted_eras,
               std::uint32_t kept_eras);
/// Sets the current era unless `era` is earlier, and removes eras that are
/// older than the kept ones. An era with an unfinished record stays whole.
void AdvanceEra(RequestTable& table, Era era);

// Queries.

/// Returns null when the id has no record.
const Record* FindRecord(const RequestTable& table, const RequestId& id);
/// Returns the result code for an id without a record, always an *unknown* one.
/// Records nothing.
ResultCode CodeOfUnrecorded(const RequestTable& table, const RequestId& id);
/// Whether a new id is accepted under `era`.
bool IsAccepted(const RequestTable& table, Era era);

}  // namespace ibisladder::requests

#endif  // LIBS_REQUESTS_REQUEST_TABLE_H_
