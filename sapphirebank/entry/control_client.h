#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

#include "sapphirebank/consensus/control_reply.h"
#include "sapphirebank/core/time.h"

namespace sapphirebank {

// Sends the commands of an entry host to the control host that leads, and
// sends them again until one has noted them or their time is over.
class ControlClient {
 public:
  using Token = std::uint64_t;

  struct Message {
    HostId to;
    nlohmann::json body;
  };
  struct Answer {
    Token token = 0;
    Result<ControlAnswer> result;
  };
  struct Effects {
    std::vector<Message> messages;
    std::vector<Answer> answers;
  };

  // Sends `command`. It is given up at `deadline` with kIdempotencyUnavailable;
  // it may still be applied after that.
  Effects Submit(Instant now, const ControlCommand& command, Instant deadline,
                 Token token);

  // Takes a reply.
  Effects OnReply(Instant now, const HostId& from, const nlohmann::json& body);

  // Notes that a control host can be reached, or no more.
  Effects OnUp(Instant now, const HostId& host);
  void OnDown(const HostId& host);

  // Sends again what was not answered, and gives up what is too old.
  Effects Tick(Instant now);

  // Returns how many commands await an answer.
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
