#include "Process/Grpc/ProcessGrpc.h"

namespace Sapphireladder {

namespace {

void encodeMember(const Member &member, peer::MemberState &message)
{
    message.set_vm(member.vm.string());
    message.set_incarnation(member.incarnation);
    message.set_peer_endpoint(member.endpoint.toString());
    message.set_zone(member.zone.string());
    message.set_heartbeat(member.heartbeat);
    message.set_stopping(member.stopping);
}

Result<Member> decodeMember(const peer::MemberState &message)
{
    if (message.vm().empty())
        return makeError(ProcessError::PeerMessageInvalid, "member without a VM name");
    const auto endpoint = Endpoint::parse(message.peer_endpoint());
    if (!endpoint)
        return makeError(ProcessError::PeerMessageInvalid, message.peer_endpoint());
    return Member{VmId(message.vm()),       message.incarnation(), endpoint.value(),
                  ZoneName(message.zone()), message.heartbeat(),   message.stopping()};
}

} // namespace

peer::DigestMessage encodeDigest(const Digest &digest)
{
    peer::DigestMessage message;
    encodeMember(digest.sender, *message.mutable_sender());
    *message.mutable_in_force() = encodeInForceState(digest.applied);
    for (const auto &it : digest.members)
        encodeMember(it, *message.add_members());
    for (const auto &it : digest.marks) {
        auto &mark = *message.add_marks();
        mark.set_service(it.service.string());
        mark.set_target(it.target.string());
        mark.set_incarnation(it.incarnation);
        mark.set_returned(!it.leaving);
    }
    return message;
}

Result<Digest> decodeDigest(const peer::DigestMessage &message)
{
    Digest digest;
    TRY_ASSIGN(sender, decodeMember(message.sender()));
    digest.sender = std::move(sender);
    digest.applied = decodeInForceState(message.in_force());
    for (const auto &it : message.members()) {
        TRY_ASSIGN(member, decodeMember(it));
        digest.members.push_back(std::move(member));
    }
    for (const auto &it : message.marks()) {
        digest.marks.push_back({ServiceName(it.service()), TargetId(it.target()), it.incarnation(),
                                !it.returned()});
    }
    return digest;
}

peer::InForceState encodeInForceState(const ActivePreset &activePreset)
{
    peer::InForceState message;
    message.set_version(activePreset.version);
    message.set_digest(activePreset.digest.string());
    return message;
}

ActivePreset decodeInForceState(const peer::InForceState &message)
{
    ActivePreset activePreset;
    activePreset.version = message.version();
    activePreset.digest = ContentDigest(message.digest());
    return activePreset;
}

} // namespace Sapphireladder
