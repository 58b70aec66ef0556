#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "sapphirebank/consensus/control_response.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Sends the commands of an entry host to the leader of the control hosts and
// resends each one until it is answered or its deadline passes.
class ControlClient {
 public:
  using Token = std::uint64_t;

  struct Message {
    HostId to;
    nlohmann::json body;
  };
  struct Answer {
    Token token = 0;
    Result<CommandResult> result;
  };
  struct Effects {
    std::vector<Message> messages;
    std::vector<Answer> answers;
  };

  // Sends `command`, identified by `token`. Without a response by `deadline` it
  // fails with kIdempotencyUnavailable, but may still be applied later.
  Effects Submit(Instant now, const ControlCommand& command, Instant deadline,
                 Token token);

  // Handles a reply of a control host. Replies without a pending command are
  // ignored.
  Effects OnReply(Instant now, const HostId& from, const nlohmann::json& body);

  // Reports that a control host became reachable or unreachable.
  Effects OnUp(Instant now, const HostId& host);
  void OnDown(const HostId& host);

  // Resends unanswered commands and fails those past their deadline.
  Effects Tick(Instant now);

  // Returns the number of unanswered commands.
  std::size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    nlohmann::json body;
    Instant deadline;
    Instant resend_at;
  };

  void Send(Instant now, Pending& pending, Effects& effects);
  std::optional<HostId> ChooseTarget();

  std::set<HostId> reachable_;
  std::optional<HostId> leader_;
  HostId last_tried_;
  std::map<Token, Pending> pending_;
};

}  // namespace sapphirebank
