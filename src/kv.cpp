// Construction of key ranges for reads.
#include "kv.h"

namespace lovagerail {

std::string prefixEnd(std::string prefix)
{
    constexpr unsigned char maxByte = 0xff;
    while (!prefix.empty()) {
        auto& tail = prefix.back();
        if (static_cast<unsigned char>(tail) != maxByte) {
            ++tail;
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

kv_range readKey(std::string key)
{
    kv_range out;
    out.key = std::move(key);
    return out;
}

kv_range readPrefix(const std::string& prefix)
{
    kv_range out;
    out.key = prefix;
    out.rangeEnd = prefixEnd(prefix);
    return out;
}

} // namespace lovagerail
