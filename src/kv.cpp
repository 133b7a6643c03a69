// Key ranges.
#include "kv.h"

namespace lovagerail {

std::string prefixEnd(std::string prefix)
{
    constexpr unsigned char last = 0xff;
    while (!prefix.empty()) {
        auto& tail = prefix.back();
        if (static_cast<unsigned char>(tail) != last) {
            ++tail;
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace lovagerail
