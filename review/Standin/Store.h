#pragma once

#include "Record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <set>

namespace Review {

/**
 * The platform's store, form "table", as far as the VMs call it. Each VM calls it on a port
 * of its own, so that the store can treat VMs differently.
 */
class Store
{
public:
    explicit Store(Record &record)
        : m_record(record)
    {}

    /** Adds a VM. @return the port on which it calls the store. */
    unsigned addVm(const std::string &vm);
    /** Writes a row in the name of the operator or of a target. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /** Starts or ends giving a VM no response. A connection without a response stays silent. */
    void setSilent(const std::string &vm, bool isSilent);
    /** @return the VM whose call last waited for changes of a table, or an empty text. */
    std::string lastFollower(const std::string &table);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    void serve(const std::string &vm, HttpConnection &connection);
    nlohmann::json respond(const std::string &vm, const HttpMessage &request);
    nlohmann::json read(const std::string &table);
    nlohmann::json follow(const std::string &table, std::uint64_t after, Milliseconds wait);
    void store(const std::string &table, const std::string &key, Row row);
    bool isSilent(const std::string &vm);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 1;
    std::set<std::string> m_silentVms;
    std::map<std::string, std::string> m_lastFollowers;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

} // namespace Review
