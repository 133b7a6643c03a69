// The part of the operators' HTTP API that reads and changes the configuration and keys.
#pragma once

#include "daemon/config_duty.h"
#include "daemon/operator_duty.h"

namespace lovagerail::daemon {

class key_duty;

// Registers the calls. All arguments must outlive the API.
void addConfigApi(operator_duty& api, control_context& context, config_duty& config, key_duty& keys);

} // namespace lovagerail::daemon
