#pragma once

#include "Version/Version.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the row in force as JSON. */
std::string encodeInForce(const ActivePreset &inForce);

/** @return the row in force, or ProcessError::StoreAnswerInvalid. */
Result<ActivePreset> decodeInForce(std::string_view text);

/** @return an operator's switch as JSON, for the admin endpoint. */
std::string encodeSwitchRequest(const SwitchRequest &request);

/** @return an operator's switch, or ProcessError::AdminAnswerInvalid. */
Result<SwitchRequest> decodeSwitchRequest(std::string_view text);

/** @return the end of a switch as JSON, for the admin endpoint. */
std::string encodeSwitchResult(const SwitchResult &result);

} // namespace Sapphireladder
