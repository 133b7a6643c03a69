// Orders to engines and their answers on the wire.
#pragma once

#include "http/client.h"
#include "weights.h"

#include <string>

namespace lovagerail::target {

// The transfer for an order to load a version.
http::request loadVersionRequest(const swap_order& order, const model_id& model, fencing_number fencing);
// The transfer that asks after an order.
http::request askRequest(const ask_order& order);
// What an answer to either says.
order_answer decodeOrderAnswer(const http::answer& answer);

} // namespace lovagerail::target
