// Version of this release.
#pragma once

namespace lovagerail {

constexpr const char* versionText = "0.1.0";

} // namespace lovagerail
