#pragma once

#include "Request/Request.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the claim's row as JSON. The answer's body is in base64, since it may be any bytes. */
std::string encodeClaim(const Claim &claim);

/** @return the claim, or ProcessError::StoreAnswerInvalid. */
Result<Claim> decodeClaim(std::string_view text);

} // namespace Sapphireladder
