#pragma once

#include "Request/Request.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the claim as a JSON row. The response body is base64, since it may be binary. */
std::string encodeClaim(const Claim &claim);

/** @return the claim, or ProcessError::StoreResponseInvalid if the row is malformed. */
Result<Claim> decodeClaim(std::string_view text);

} // namespace Sapphireladder
