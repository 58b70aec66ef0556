#include "sapphirebank/transport/http_message.h"

#include <utility>

namespace sapphirebank {

void CallerWatch::HangUp() {
  if (hung_up_) return;
  hung_up_ = true;
  const auto hook = std::exchange(hook_, nullptr);
  if (hook) hook();
}

}  // namespace sapphirebank
