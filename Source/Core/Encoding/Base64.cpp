#include "Core/Encoding/CoreEncoding.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace Sapphireladder {

std::string encodeBase64(std::string_view bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    encoder.close();
    return out.str();
}

Result<std::string> decodeBase64(std::string_view text)
{
    std::istringstream in{std::string(text)};
    Poco::Base64Decoder decoder(in);
    std::string bytes;
    try {
        Poco::StreamCopier::copyToString(decoder, bytes);
    } catch (const Poco::Exception &) {
        return makeError(CoreError::InvalidBase64);
    }
    if (decoder.bad())
        return makeError(CoreError::InvalidBase64);
    return bytes;
}

} // namespace Sapphireladder
