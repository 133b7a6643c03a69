// Encoding and decoding of the snapshot file, and atomic file access.
#include "snapshot.h"

#include "object_codec.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <openssl/evp.h>
#include <unistd.h>

namespace lovagerail {

namespace {

    constexpr std::string_view step = "snapshot";
    constexpr std::string_view magic = "lovagesn";
    constexpr std::uint64_t formatVersion = 1;
    constexpr std::size_t numberBytes = 8;
    constexpr std::size_t digestBytes = 32;
    constexpr std::size_t checkedHeaderBytes = 4 * numberBytes; // magic, version, revision, length
    constexpr std::size_t headerBytes = checkedHeaderBytes + digestBytes;
    constexpr std::size_t readChunkBytes = 65'536;

    void appendNumber(std::string& to, std::uint64_t number)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            to += static_cast<char>((number >> shift) & 0xffu);
    }

    std::uint64_t numberAt(std::string_view bytes, std::size_t offset)
    {
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < numberBytes; ++i)
            number = (number << 8) | static_cast<unsigned char>(bytes[offset + i]);
        return number;
    }

    // SHA-256 of the header up to the digest, followed by the body; empty on failure.
    std::string checksum(std::string_view header, std::string_view body)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
        const bool digestComputed = context
            && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1
            && EVP_DigestUpdate(context.get(), header.data(), header.size()) == 1
            && EVP_DigestUpdate(context.get(), body.data(), body.size()) == 1
            && EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
        return digestComputed ? std::string(digest.begin(), digest.begin() + digestBytes) : std::string();
    }

    tl::unexpected<error> corrupt(std::string detail)
    {
        return failure(error_code::Corrupt, step, peer_kind::File, {}, std::move(detail));
    }

    // Removes the first line from the text and returns it without its line feed.
    std::string_view takeLine(std::string_view& text)
    {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        return line;
    }

    result<snapshot> decodeBody(std::string_view body, revision expectedRevision)
    {
        // Step 1. Decode the first line.
        const auto firstLine = parseJson(takeLine(body), step);
        if (!firstLine)
            return tl::unexpected(firstLine.error());
        const Json::Value& head = *firstLine;
        if (!head.isObject() || !head["to"].isUInt64() || !head["objects"].isUInt64())
            return corrupt("first line of the body: expected to, objects and denied");
        auto denied = denyMarksFromJson(head["denied"]);
        if (!denied)
            return tl::unexpected(std::move(denied.error()));

        // Step 2. Decode the objects, one per line.
        snapshot local { {}, std::move(*denied) };
        local.configuration.to = revision(head["to"].asUInt64());
        while (!body.empty()) {
            const auto envelope = parseJson(takeLine(body), step);
            if (!envelope)
                return tl::unexpected(envelope.error());
            if (auto added = addEnvelope(*envelope, local.configuration); !added)
                return tl::unexpected(std::move(added.error()));
        }
        const auto count = local.configuration.puts.size() + local.configuration.foreignPuts.size();
        if (count != head["objects"].asUInt64() || local.configuration.to != expectedRevision)
            return corrupt("header and body do not match");
        return local;
    }

    tl::unexpected<error> fileFailure(const std::string& path, const char* operation)
    {
        const int reason = errno;
        const auto code = reason == ENOENT ? error_code::NotFound : error_code::Unavailable;
        return failure(code, step, peer_kind::File, path, std::string(operation) + ": " + std::strerror(reason));
    }

    // A file descriptor that is closed on destruction.
    struct file_descriptor {
        int number = -1;

        explicit file_descriptor(int descriptor)
            : number(descriptor)
        {
        }
        file_descriptor(const file_descriptor&) = delete;
        file_descriptor& operator=(const file_descriptor&) = delete;
        ~file_descriptor()
        {
            if (number >= 0)
                close(number);
        }
    };

    bool writeAll(int descriptor, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto written = write(descriptor, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    std::string folderOf(const std::string& path)
    {
        const auto slash = path.rfind('/');
        if (slash == std::string::npos)
            return ".";
        return slash == 0 ? "/" : path.substr(0, slash);
    }

    error withPath(error failed, const std::string& path)
    {
        failed.peer = peer_kind::File;
        failed.peerName = path;
        return failed;
    }

} // namespace

std::string encodeSnapshot(const snapshot& local)
{
    Json::Value firstLine(Json::objectValue);
    firstLine["to"] = Json::UInt64(local.configuration.to.value());
    firstLine["objects"] = Json::UInt64(local.configuration.puts.size() + local.configuration.foreignPuts.size());
    firstLine["denied"] = toJson(std::span(local.denied));
    std::string body = toText(firstLine) + "\n";
    for (const auto& object : local.configuration.puts)
        body += toText(toEnvelope(object)) + "\n";
    for (const auto& object : local.configuration.foreignPuts)
        body += toText(toEnvelope(object)) + "\n";

    std::string bytes(magic);
    appendNumber(bytes, formatVersion);
    appendNumber(bytes, local.configuration.to.value());
    appendNumber(bytes, body.size());
    bytes += checksum(bytes, body);
    return bytes + body;
}

result<snapshot> decodeSnapshot(std::string_view bytes)
{
    // Check the header, the length and the checksum before decoding.
    if (bytes.size() < headerBytes || !bytes.starts_with(magic))
        return corrupt("not a snapshot file, or truncated within its header");
    const auto version = numberAt(bytes, numberBytes);
    if (version != formatVersion)
        return failure(error_code::Unsupported, step, peer_kind::File, {}, "format version " + std::to_string(version) + "; this release reads " + std::to_string(formatVersion));
    const auto body = bytes.substr(headerBytes);
    if (numberAt(bytes, 3 * numberBytes) != body.size())
        return corrupt("body length does not match the header");
    if (checksum(bytes.substr(0, checkedHeaderBytes), body) != bytes.substr(checkedHeaderBytes, digestBytes))
        return corrupt("checksum mismatch");

    return decodeBody(body, revision(numberAt(bytes, 2 * numberBytes)));
}

result<void> writeFileAtomically(const std::string& path, std::string_view bytes)
{
    // Step 1. Write a complete new file beside the old one and flush it to disk.
    const std::string temporary = path + ".new";
    {
        const file_descriptor file(open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR));
        if (file.number < 0)
            return fileFailure(temporary, "open");
        if (!writeAll(file.number, bytes))
            return fileFailure(temporary, "write");
        if (fsync(file.number) != 0)
            return fileFailure(temporary, "fsync");
    }

    // Step 2. Rename it over the old one and flush the folder, so that the rename is durable.
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        return fileFailure(path, "rename");
    const std::string folderName = folderOf(path);
    const file_descriptor folder(open(folderName.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folder.number < 0 || fsync(folder.number) != 0)
        return fileFailure(folderName, "fsync of the folder");
    return {};
}

result<std::string> readWholeFile(const std::string& path)
{
    const file_descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.number < 0)
        return fileFailure(path, "open");
    std::string bytes;
    std::vector<char> chunk(readChunkBytes);
    while (true) {
        const auto readBytes = read(file.number, chunk.data(), chunk.size());
        if (readBytes < 0 && errno == EINTR)
            continue;
        if (readBytes < 0)
            return fileFailure(path, "read");
        if (readBytes == 0)
            return bytes;
        bytes.append(chunk.data(), static_cast<std::size_t>(readBytes));
    }
}

result<void> saveSnapshot(const std::string& path, const snapshot& local)
{
    return writeFileAtomically(path, encodeSnapshot(local));
}

result<snapshot> loadSnapshot(const std::string& path)
{
    const auto bytes = readWholeFile(path);
    if (!bytes)
        return tl::unexpected(bytes.error());
    auto decoded = decodeSnapshot(*bytes);
    if (!decoded)
        return tl::unexpected(withPath(std::move(decoded.error()), path));
    return decoded;
}

} // namespace lovagerail
