#pragma once

#include "Process/Process.h"

#include <Peer.pb.h>

namespace Sapphireladder {

namespace peer = ::sapphireladder::peer;

/** @return the digest as a protocol message. */
peer::DigestMessage encodeDigest(const Digest &digest);

/**
 * @return the digest, or ProcessError::PeerMessageInvalid if a member lacks a VM name or a valid
 * endpoint.
 */
Result<Digest> decodeDigest(const peer::DigestMessage &message);

/** @return the version and content digest as a protocol message. */
peer::InForceState encodeInForceState(const ActivePreset &activePreset);

ActivePreset decodeInForceState(const peer::InForceState &message);

} // namespace Sapphireladder
