// The release that this tree builds.
#pragma once

namespace lovagerail {

constexpr const char* versionText = "0.1.0";

} // namespace lovagerail
