#ifndef LIBS_REQUESTS_TICKET_H_
#define LIBS_REQUESTS_TICKET_H_

#include <string>
#include <string_view>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"

/// Tickets and request ids. A ticket names the incarnation of the instance that
/// is the home of a request: it keeps the record of the request's id and is the
/// only one that may run an at-most-once request with it.
namespace ibisladder::requests {

/// Issued to callers together with an address; names the home and the era of
/// issue.
struct Ticket {
  InstanceId instance;
  Incarnation incarnation;
  Era era;

  friend auto operator<=>(const Ticket&, const Ticket&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(instance, incarnation, era);
  }
};

/// A ticket and the caller's part: 1 to 64 characters of [A-Za-z0-9_-].
struct RequestId {
  Ticket ticket;
  std::string caller_part;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ticket, caller_part);
  }
};

/// Format: "t1.<instance>.<incarnation, hex>.<era>".
std::string FormatTicket(const Ticket& ticket);
/// Format: "<ticket>.<caller part>".
std::string FormatRequestId(const RequestId& id);
/// Fails with kTicketInvalid unless `text` is exactly what FormatTicket writes.
Expected<Ticket> ParseTicket(std::string_view text);
/// Fails with kTicketInvalid unless `text` is exactly what FormatRequestId
/// writes.
Expected<RequestId> ParseRequestId(std::string_view text);

}  // namespace ibisladder::requests

#endif  // LIBS_REQUESTS_TICKET_H_
