// MessagePack encoding of the messages between instances; see gossip_codec.h.
#include "gossip_codec.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace lovagerail {

namespace {

    constexpr std::uint32_t formatVersion = 1;
    constexpr std::size_t maxMessageBytes = 16 * 1024;
    constexpr std::size_t maxNesting = 8; // of arrays; a message has three levels
    constexpr std::uint32_t memberFields = 7;
    constexpr std::uint32_t entryFields = 5;
    constexpr std::uint32_t messageFields = 9;

    using packer = msgpack::packer<msgpack::sbuffer>;

    void pack(packer& out, const member_update& update)
    {
        out.pack_array(memberFields);
        out.pack(update.id.str());
        out.pack(update.address);
        out.pack(update.failureDomain.str());
        out.pack(update.incarnationNumber.value());
        out.pack(update.counter);
        out.pack(static_cast<std::uint8_t>(update.state));
        out.pack(update.leaving);
    }

    void pack(packer& out, const gossip_entry& entry)
    {
        out.pack_array(entryFields);
        out.pack(entry.key);
        out.pack(entry.version);
        out.pack(entry.value);
        out.pack(static_cast<std::int64_t>(entry.keepFor.count()));
        out.pack(static_cast<std::int64_t>(entry.age.count()));
    }

    // Throws msgpack::type_error if the value has another type or too few fields;
    // decodeGossip catches it.
    const msgpack::object_array& arrayOf(const msgpack::object& value, std::uint32_t fields)
    {
        if (value.type != msgpack::type::ARRAY || value.via.array.size < fields)
            throw msgpack::type_error();
        return value.via.array;
    }

    std::string boundedText(const msgpack::object& value, std::size_t maxBytes)
    {
        auto text = value.as<std::string>();
        if (text.size() > maxBytes)
            throw msgpack::type_error();
        return text;
    }

    member_update memberOf(const msgpack::object& value)
    {
        const auto& fields = arrayOf(value, memberFields);
        member_update out;
        out.id = instance_id(boundedText(fields.ptr[0], maxMemberNameBytes));
        out.address = boundedText(fields.ptr[1], maxMemberAddressBytes);
        out.failureDomain = failure_domain_id(boundedText(fields.ptr[2], maxMemberNameBytes));
        out.incarnationNumber = incarnation(fields.ptr[3].as<std::uint64_t>());
        out.counter = fields.ptr[4].as<std::uint32_t>();
        const auto state = fields.ptr[5].as<std::uint8_t>();
        if (state > static_cast<std::uint8_t>(member_state::Dead) || out.id.empty())
            throw msgpack::type_error();
        out.state = static_cast<member_state>(state);
        out.leaving = fields.ptr[6].as<bool>();
        return out;
    }

    gossip_entry entryOf(const msgpack::object& value)
    {
        const auto& fields = arrayOf(value, entryFields);
        gossip_entry out;
        out.key = boundedText(fields.ptr[0], maxGossipKeyBytes);
        out.version = fields.ptr[1].as<std::uint64_t>();
        out.value = boundedText(fields.ptr[2], maxGossipValueBytes);
        out.keepFor = std::chrono::milliseconds(fields.ptr[3].as<std::int64_t>());
        out.age = std::chrono::milliseconds(fields.ptr[4].as<std::int64_t>());
        return out;
    }

    gossip_message messageOf(const msgpack::object& value)
    {
        const auto& fields = arrayOf(value, messageFields);
        if (fields.ptr[0].as<std::uint32_t>() != formatVersion)
            throw msgpack::type_error();
        gossip_message out;
        const auto kind = fields.ptr[1].as<std::uint8_t>();
        if (kind > static_cast<std::uint8_t>(message_kind::Reached))
            throw msgpack::type_error();
        out.members.kind = static_cast<message_kind>(kind);
        out.members.from = memberOf(fields.ptr[2]);
        out.members.about = instance_id(boundedText(fields.ptr[3], maxMemberNameBytes));
        out.members.digest = fields.ptr[4].as<std::uint64_t>();
        const auto& updates = arrayOf(fields.ptr[5], 0);
        if (updates.size > maxUpdatesPerMessage)
            throw msgpack::type_error();
        for (std::uint32_t i = 0; i < updates.size; ++i)
            out.members.updates.push_back(memberOf(updates.ptr[i]));
        const auto digests = boundedText(fields.ptr[6], sizeof(gossip_digests));
        if (digests.size() != sizeof(gossip_digests))
            throw msgpack::type_error();
        std::copy(digests.begin(), digests.end(), reinterpret_cast<char*>(out.gossip.digests.data()));
        const auto& entries = arrayOf(fields.ptr[7], 0);
        for (std::uint32_t i = 0; i < entries.size; ++i)
            out.gossip.entries.push_back(entryOf(entries.ptr[i]));
        const auto& configFields = arrayOf(fields.ptr[8], 2);
        out.inForce = revision(configFields.ptr[0].as<std::uint64_t>());
        out.confirmedAgo = std::chrono::milliseconds(configFields.ptr[1].as<std::int64_t>());
        return out;
    }

} // namespace

std::string encodeGossip(const gossip_message& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(messageFields);
    out.pack(formatVersion);
    out.pack(static_cast<std::uint8_t>(message.members.kind));
    pack(out, message.members.from);
    out.pack(message.members.about.str());
    out.pack(message.members.digest);
    out.pack_array(static_cast<std::uint32_t>(message.members.updates.size()));
    for (const auto& update : message.members.updates)
        pack(out, update);
    const auto& digests = message.gossip.digests;
    out.pack_bin(sizeof digests);
    out.pack_bin_body(reinterpret_cast<const char*>(digests.data()), sizeof digests);
    out.pack_array(static_cast<std::uint32_t>(message.gossip.entries.size()));
    for (const auto& entry : message.gossip.entries)
        pack(out, entry);
    out.pack_array(2);
    out.pack(message.inForce.value());
    out.pack(static_cast<std::int64_t>(message.confirmedAgo.count()));
    return { buffer.data(), buffer.size() };
}

result<gossip_message> decodeGossip(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return failure(error_code::Corrupt, "gossip.decode", "the message is above the size limit");
    try {
        // Room for the stated number of elements is allocated before they are read. Each takes a
        // byte at least, so no sound message states more than it has bytes.
        const auto size = bytes.size();
        const msgpack::unpack_limit limits(size, size, size, size, size, maxNesting);
        const auto handle = msgpack::unpack(bytes.data(), size, nullptr, nullptr, limits);
        return messageOf(handle.get());
    } catch (const std::exception& problem) {
        return failure(error_code::Corrupt, "gossip.decode", problem.what());
    }
}

} // namespace lovagerail
