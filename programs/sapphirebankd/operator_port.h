#pragma once

#include <memory>

#include "programs/sapphirebankd/control_daemon.h"
#include "sapphirebank/transport/operator_server.h"

namespace sapphirebank {

// Starts the operators' server of a control host. `control` must outlive it.
// Fails with kInvalidSettings when the port cannot be opened.
Result<std::unique_ptr<OperatorServer>> OpenOperatorPort(
    const DaemonSettings& settings, ControlDaemon& control);

}  // namespace sapphirebank
