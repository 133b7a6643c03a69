// Orders as the platform takes them. Every assumption about their wire format is
// in this part.
#pragma once

#include "http/client.h"
#include "orders.h"
#include "provider/order_thread.h"
#include "provider/target_list.h"

namespace lovagerail::provider {

// `url` is the platform's base.
order_send orderRequest(const std::string& url, const send_order& wanted);
http::request askRequest(const std::string& url, const order_id& id);

struct order_news {
    order_outcome outcome = order_outcome::Lost;
    target_id target;
};
// Of the answer to a send.
order_news decodeSent(const http::answer& answer);
// Of the answer to a question.
order_news decodeAsked(const http::answer& answer);

ordered_target orderedTarget(const platform_target& row);

} // namespace lovagerail::provider
