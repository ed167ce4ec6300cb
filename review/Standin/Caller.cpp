#include "Caller.h"

namespace Review {

CallerResult Caller::send(const CallerRequest &request)
{
    if (!m_connection)
        m_connection = connectTo(m_port);
    CallerResult result;
    result.sentAt = m_record.now();
    m_record.add("caller sends " + request.id + ' ' + request.method + ' ' + request.path);
    std::string text = request.method + ' ' + request.path + " HTTP/1.1\r\n"
                       + encodeField("Host", host) + encodeField(attemptIdField, request.id)
                       + encodeField(deadlineField, std::to_string(request.deadlineMs));
    if (request.method != "GET")
        text += encodeField("Content-Length", std::to_string(request.body.size()));
    text += "\r\n" + request.body;
    HttpMessage response;
    const bool isAnswered = m_connection && m_connection->write(text)
                            && m_connection->read(response, Milliseconds(request.deadlineMs))
                                       == ReadResult::Complete;
    result.endedAt = m_record.now();
    if (isAnswered) {
        result.status = response.status();
        result.isSigned = !response.field(signatureField).empty();
        result.body = response.body;
    }
    if (!isAnswered || response.field("Connection") == "close"
        || response.field("Connection") == "Close")
        m_connection.reset();
    m_record.add("caller gets " + std::to_string(result.status) + (result.isSigned ? " signed" : "")
                 + " for " + request.id);
    return result;
}

} // namespace Review
