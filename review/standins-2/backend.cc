#include "backend.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace review {
namespace {

constexpr Millis kStep(2);
constexpr Millis kReadStep(200);
constexpr Millis kIdleTime(10000);
/// Requests that wait for a slot, as a multiple of the slots.
constexpr int kQueuePerSlot = 4;
/// Time in which the peer reads what arrives before a reset.
constexpr Millis kBreakDelay(100);
constexpr char kLoadField[] = "X-Server-Load";
/// Place of the second hyphen in it.
constexpr std::size_t kHyphen = 8;
constexpr char kHealthPath[] = "/healthz";
constexpr char kSignature[] = "3e1b.07.5a2.600.0.c9f2a4d1";

std::string StatusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " Status";
}

}  // namespace

Backend::Backend(std::string name, const Address& address, int slots, Work work,
                 Record& record)
    : name_(std::move(name)),
      address_(address),
      slots_(slots),
      work_(std::move(work)),
      record_(record),
      fd_(Listen(address)) {
  if (fd_ < 0) throw std::runtime_error("cannot bind " + ToString(address));
  accepting_ = std::thread([this] { Accept(); });
}

Backend::~Backend() {
  ends_ = true;
  shutdown(fd_, SHUT_RDWR);
  accepting_.join();
  close(fd_);
  for (auto& it : threads_) it.join();
}

std::vector<Run> Backend::Runs() const {
  const std::scoped_lock lock(mutex_);
  return {runs_.begin(), runs_.end()};
}

std::string Backend::Entry(const std::string& service, const std::string& zone,
                           const std::string& state) const {
  const nlohmann::json entry = {
      {"addr", ToString(address_)},
      {"info",
       {{"service", service},
        {"version", "v1"},
        {"zone", zone},
        {"max_concurrency", slots_}}},
      {"status", {{"state", state}, {"seq", 1}, {"warmup_left_s", 0}}}};
  return entry.dump();
}

void Backend::Accept() {
  while (!ends_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    threads_.emplace_back([this, fd] { Serve(Socket(fd)); });
  }
}

void Backend::Serve(Socket socket) {
  Reader reader(socket);
  Message request;
  Clock::time_point idle_since = Clock::now();
  while (!ends_) {
    // A long request takes more than one step.
    if (reader.left() == 0 && !socket.HasEnded()) {
      char byte = 0;
      const bool has_input =
          recv(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
      if (!has_input) {
        if (Clock::now() - idle_since > kIdleTime) return;
        std::this_thread::sleep_for(kStep);
        continue;
      }
    }
    if (reader.Read(request, kReadStep * 100, false) != Reader::End::kComplete)
      return;
    if (!Respond(socket, request)) return;
    idle_since = Clock::now();
  }
}

Headers Backend::FieldsFor(const Message& request) const {
  Headers fields = {{kLoadField, std::to_string(running_) + "," +
                                     std::to_string(waiting_) + "," +
                                     std::to_string(slots_)}};
  if (is_leaving_) fields.emplace_back("Server-Leaving", "1");
  const std::string id = request.Field("X-Request-Id");
  if (!id.empty()) fields.emplace_back("X-Request-Id", id);
  return fields;
}

bool Backend::Wait(const Socket& socket, Clock::time_point until) const {
  while (Clock::now() < until) {
    if (ends_ || socket.HasEnded()) return false;
    std::this_thread::sleep_for(kStep);
  }
  return true;
}

bool Backend::TakeSlot(const Socket& socket, Clock::time_point until) {
  ++waiting_;
  bool is_taken = false;
  while (!is_taken && Clock::now() < until && !ends_ && !socket.HasEnded()) {
    int running = running_;
    is_taken = running < slots_ &&
               running_.compare_exchange_strong(running, running + 1);
    if (!is_taken) std::this_thread::sleep_for(kStep);
  }
  --waiting_;
  return is_taken;
}

bool Backend::Respond(const Socket& socket, const Message& request) {
  Headers fields = FieldsFor(request);
  const std::string id = request.Field("X-Request-Id");
  if (request.Target() == kHealthPath) {
    fields.emplace_back("X-Instance-Id", name_);
    return socket.Send(Format(StatusLine(is_leaving_ ? 503 : 200), fields, ""));
  }
  const std::string expected = request.Field("X-Expect-Instance");
  const auto reject = [&](int status) {
    fields.emplace_back("X-Not-Executed", "1");
    return socket.Send(Format(StatusLine(status), fields, ""));
  };
  if (id.empty()) return reject(400);
  if (!expected.empty() && expected != name_) {
    fields.emplace_back("X-Instance-Id", name_);
    return reject(421);
  }
  if (waiting_ >= slots_ * kQueuePerSlot) return reject(503);
  const std::string deadline = request.Field("X-Deadline-Ms");
  const std::int64_t deadline_ms = deadline.empty() ? -1 : std::stoll(deadline);
  const auto until =
      Clock::now() + (deadline.empty() ? kIdleTime : Millis(deadline_ms));
  if (!TakeSlot(socket, until)) {
    if (Clock::now() >= until) return reject(503);
    return false;
  }
  Run* run = nullptr;
  {
    const std::scoped_lock lock(mutex_);
    runs_.push_back({id, name_, request.Method(), request.Target(),
                     request.body.size(), Clock::now(), Clock::now(), false,
                     deadline_ms});
    run = &runs_.back();
  }
  record_.Write("backend " + name_ + " runs " + id + " " + request.Method() +
                " " + request.Target() +
                " length=" + request.Field("Content-Length") +
                " body=" + std::to_string(request.body.size()) +
                " deadline_ms=" + deadline);
  const Answer answer = work_(request);
  const auto done_at = Clock::now() + answer.work;
  const bool is_late = done_at > until;
  const bool is_open = Wait(socket, is_late ? until : done_at);
  --running_;
  {
    const std::scoped_lock lock(mutex_);
    run->ended_at = Clock::now();
    run->was_dropped = !is_open;
  }
  record_.Write("backend " + name_ + " ends " + id +
                (is_open ? "" : " (connection closed)"));
  if (!is_open) return false;
  if (is_late) return socket.Send(Format(StatusLine(504), fields, ""));
  fields.emplace_back("X-Response-Signature", kSignature);
  std::string bytes = Format(StatusLine(answer.status), fields, answer.body);
  if (answer.is_spoilt) bytes[bytes.find(kLoadField) + kHyphen] = ' ';
  if (answer.breaks_after == 0) return socket.Send(bytes);
  bytes.resize(std::min(bytes.size(), answer.breaks_after));
  socket.Send(bytes);
  Wait(socket, Clock::now() + kBreakDelay);
  // Reset at the close.
  const linger now{1, 0};
  setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  return false;
}

}  // namespace review
