#pragma once

#include "Version/Version.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the row that names the preset in force, as JSON. */
std::string encodeActivePreset(const ActivePreset &activePreset);

/** @return the decoded row, or ProcessError::StoreResponseInvalid. */
Result<ActivePreset> decodeActivePreset(std::string_view text);

/** @return an operator's switch request as JSON, for the admin endpoint. */
std::string encodeSwitchRequest(const SwitchRequest &request);

/** @return the decoded switch request, or ProcessError::AdminResponseInvalid. */
Result<SwitchRequest> decodeSwitchRequest(std::string_view text);

/** @return the result of a switch as JSON, for the admin endpoint. */
std::string encodeSwitchResult(const SwitchResult &result);

} // namespace Sapphireladder
