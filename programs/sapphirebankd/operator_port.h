#pragma once

#include <memory>

#include "programs/sapphirebankd/control_daemon.h"
#include "sapphirebank/transport/operator_server.h"

namespace sapphirebank {

// Opens the operators' port of a control host. `control` must outlive the
// server. Fails with kInvalidSettings when the port cannot be had.
Result<std::unique_ptr<OperatorServer>> OpenOperatorPort(
    const DaemonSettings& settings, ControlDaemon& control);

}  // namespace sapphirebank
