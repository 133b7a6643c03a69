// Codec for orders to engines to load weight versions, and for their answers.
#pragma once

#include "http/client.h"
#include "weights.h"

#include <string>

namespace lovagerail::target {

// The HTTP request that orders an engine to load a version.
http::request loadVersionRequest(const swap_order& order, const model_id& model, fencing_number fencing);
// The HTTP request that queries the state of an order.
http::request queryRequest(const query_swap_order& order);
// Decodes the answer to either request.
order_answer decodeOrderAnswer(const http::answer& answer);

} // namespace lovagerail::target
