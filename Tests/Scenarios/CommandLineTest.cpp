#include "Scenarios/ChildProcess.h"

#include <Poco/TemporaryFile.h>

#include <doctest/doctest.h>

#include <fstream>

using namespace Sapphireladder::Scenarios;

TEST_SUITE_BEGIN("Scenarios");

struct CommandLineFixture
{
    CommandLineFixture() { folder.createDirectories(); }

    static ProgramOutput run(const std::vector<std::string> &arguments)
    {
        return runProgram(PRODUCT_PROGRAM, arguments);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        auto path = folder.path() + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    Poco::TemporaryFile folder;
    const std::string samples = SOURCE_FOLDER "/Samples/bengal/";
};

TEST_CASE_FIXTURE(CommandLineFixture, "check, with valid files, succeeds")
{
    const auto output = run(
            {"check", "--settings", samples + "vm-01.yaml", "--preset", samples + "ordinary.yaml"});
    CHECK(output.exitCode == 0);
    CHECK(output.out == "ok\n");
}

TEST_CASE_FIXTURE(CommandLineFixture, "check, with errors, reports the file and line of each")
{
    const auto file = write("bad.yaml", "name: bad\ncolour: red\nservices: []\n");
    const auto output = run({"check", "--preset", file});
    CHECK(output.exitCode == 2);
    CHECK(output.err.find(file + ":2: unknown key: preset.colour") != std::string::npos);
    CHECK(output.err.find(file + ":3: preset has no service") != std::string::npos);
}

TEST_CASE_FIXTURE(CommandLineFixture,
                  "check, without files or with an absent file, exits with code 2")
{
    CHECK(run({"check"}).exitCode == 2);
    CHECK(run({"check", "--preset", folder.path() + "/absent.yaml"}).exitCode == 2);
}

// Guards against a VM that falls back to a default value for an invalid setting.
TEST_CASE_FIXTURE(CommandLineFixture, "serve, with invalid settings, does not start")
{
    const auto file = write("vm.yaml", "vm: a\nlameduck: soon\n");
    const auto output = run({"serve", "--settings", file});
    CHECK(output.exitCode == 2);
    CHECK(output.err.find(file + ":2: duration needs a number with unit") != std::string::npos);
}

TEST_CASE_FIXTURE(CommandLineFixture,
                  "program, with an unknown command, prints the list of commands")
{
    const auto output = run({"dance"});
    CHECK(output.exitCode == 2);
    CHECK(output.err.find("preset") != std::string::npos);
    CHECK(run({"--help"}).exitCode == 0);
    CHECK(run({"serve", "--help"}).exitCode == 0);
}

TEST_CASE_FIXTURE(CommandLineFixture, "status, with an unreachable VM, reports its address")
{
    const auto output = run({"status", "--admin", "127.0.0.1:9"});
    CHECK(output.exitCode == 3);
    CHECK(output.err.find("127.0.0.1:9") != std::string::npos);
}

TEST_SUITE_END();
