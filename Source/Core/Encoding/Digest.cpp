#include "Core/Encoding/CoreEncoding.h"

#include <Poco/SHA2Engine.h>

namespace Sapphireladder {

std::string sha256Hex(std::string_view bytes)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(bytes.data(), bytes.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace Sapphireladder
