// The part of the operators' API that reads and changes the configuration and keys.
#pragma once

#include "daemon/config_duty.h"
#include "daemon/operator_duty.h"

namespace lovagerail::daemon {

class key_duty;

// Adds the calls to the API. All arguments outlive it.
void addConfigApi(operator_duty& api, control_context& context, config_duty& config, key_duty& keys);

} // namespace lovagerail::daemon
