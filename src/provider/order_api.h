// Codec for the platform's API to start and stop targets by orders. All assumptions about
// its wire format are in this file pair.
#pragma once

#include "http/client.h"
#include "orders.h"
#include "provider/order_thread.h"
#include "provider/target_list.h"

namespace lovagerail::provider {

// `url` is the platform's base URL. Requests to place an order and to query its state.
order_request orderRequest(const std::string& url, const send_order& command);
http::request queryRequest(const std::string& url, const order_id& id);

struct order_result {
    order_outcome outcome = order_outcome::Lost;
    target_id target;
};
// Decodes the answer to orderRequest().
order_result decodeSendAnswer(const http::answer& answer);
// Decodes the answer to queryRequest().
order_result decodeQueryAnswer(const http::answer& answer);

ordered_target orderedTarget(const platform_target& row);

} // namespace lovagerail::provider
