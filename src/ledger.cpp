// Codecs, keys and size bounds of a run's ledger; see ledger.h.
#include "ledger.h"

#include "json_text.h"

#include <algorithm>
#include <cassert>
#include <json/json.h>
#include <map>
#include <memory>
#include <openssl/sha.h>
#include <xxhash.h>

namespace lovagerail {

namespace {

    constexpr std::uint8_t pageFormat = 1;
    constexpr std::size_t checksumBytes = 8;
    constexpr std::size_t digestBytes = 16;
    constexpr std::size_t varintBytesMax = 10; // of a 64-bit number
    constexpr std::size_t smallVarintBytesMax = 5; // of a 32-bit number
    constexpr std::size_t holderSetBytesMax = 3; // index into the page's table of holder sets
    constexpr auto headStep = "ledger.decode_head";
    constexpr auto pageStep = "ledger.decode_page";

    using holder_set = std::vector<payload_holder>;

    std::uint64_t zigzag(std::int64_t value)
    {
        return (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63);
    }

    std::int64_t unzigzag(std::uint64_t value)
    {
        return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
    }

    // Appends numbers and strings to a byte string.
    class byte_writer {
    public:
        void number(std::uint64_t value)
        {
            while (value >= 0x80) {
                m_bytes.push_back(static_cast<char>(value | 0x80));
                value >>= 7;
            }
            m_bytes.push_back(static_cast<char>(value));
        }

        void text(std::string_view value)
        {
            number(value.size());
            m_bytes.append(value);
        }

        void digest(const payload_digest& value)
        {
            m_bytes.append(value.bytes.begin(), value.bytes.end());
        }

        void checksum()
        {
            const std::uint64_t sum = XXH64(m_bytes.data(), m_bytes.size(), 0);
            for (std::size_t i = 0; i < checksumBytes; ++i)
                m_bytes.push_back(static_cast<char>(sum >> (8 * i)));
        }

        std::string take() { return std::move(m_bytes); }

    private:
        std::string m_bytes;
    };

    // Reads the output of byte_writer; after a failure ok() is false and all values are 0.
    class byte_reader {
    public:
        explicit byte_reader(std::string_view bytes)
            : m_bytes(bytes)
        {
        }

        std::uint64_t number()
        {
            std::uint64_t value = 0;
            for (unsigned shift = 0; shift < 64; shift += 7) {
                if (m_bytes.empty())
                    return fail();
                const auto byte = static_cast<std::uint8_t>(m_bytes.front());
                m_bytes.remove_prefix(1);
                value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
                if (!(byte & 0x80))
                    return value;
            }
            return fail();
        }

        std::uint32_t smallNumber()
        {
            const std::uint64_t value = number();
            return value > UINT32_MAX ? static_cast<std::uint32_t>(fail()) : static_cast<std::uint32_t>(value);
        }

        // A number of items of at least one byte each.
        std::size_t size()
        {
            const std::uint64_t value = number();
            return value > m_bytes.size() ? fail() : value;
        }

        std::string text()
        {
            const std::size_t length = size();
            std::string value(m_bytes.substr(0, length));
            m_bytes.remove_prefix(length);
            return value;
        }

        payload_digest digest()
        {
            payload_digest value;
            if (m_bytes.size() < digestBytes) {
                fail();
                return value;
            }
            std::copy_n(m_bytes.begin(), digestBytes, value.bytes.begin());
            m_bytes.remove_prefix(digestBytes);
            return value;
        }

        std::uint64_t fail()
        {
            m_ok = false;
            m_bytes = {};
            return 0;
        }

        bool ok() const { return m_ok; }
        bool atEnd() const { return m_bytes.empty(); }

    private:
        std::string_view m_bytes;
        bool m_ok = true;
    };

    // The distinct holder sets of a page with their index, so that a record stores only the index.
    std::map<holder_set, std::size_t> holderSets(const ledger_page& page)
    {
        std::map<holder_set, std::size_t> sets;
        for (const group_record& group : page.groups)
            sets.try_emplace(group.holders, 0);
        for (const sample_record& sample : page.samples)
            sets.try_emplace(sample.holders, 0);
        std::size_t index = 0;
        for (auto& [holders, number] : sets)
            number = index++;
        return sets;
    }

    weight_version baseVersion(const ledger_page& page)
    {
        for (const sample_record& sample : page.samples) {
            if (!sample.spans.empty())
                return sample.spans.front().version;
        }
        return weight_version();
    }

    void writeSample(byte_writer& out, const sample_record& sample, std::size_t holders, weight_version base)
    {
        out.number(sample.group.value());
        out.number(sample.sample.value());
        out.number(sample.attempt.value());
        out.digest(sample.payload);
        out.number(holders);
        out.number(sample.spans.size());
        for (const version_span& span : sample.spans) {
            out.number(zigzag(static_cast<std::int64_t>(span.version.value() - base.value())));
            out.number(span.last - span.first);
        }
    }

    sample_record readSample(byte_reader& in, const std::vector<holder_set>& sets, weight_version base)
    {
        sample_record sample;
        sample.group = group_number(in.smallNumber());
        sample.sample = sample_number(in.smallNumber());
        sample.attempt = attempt_id(in.number());
        sample.payload = in.digest();
        const std::uint64_t holders = in.number();
        if (holders < sets.size())
            sample.holders = sets[holders];
        else
            in.fail();
        const std::size_t spans = in.size();
        std::uint32_t next = 0;
        for (std::size_t i = 0; i < spans && in.ok(); ++i) {
            const std::uint64_t version = base.value() + static_cast<std::uint64_t>(unzigzag(in.number()));
            const std::uint32_t length = in.smallNumber();
            sample.spans.push_back({ weight_version(version), next, next + length });
            next += length + 1;
        }
        return sample;
    }

    Json::Value toJson(const ledger_step& step)
    {
        Json::Value json;
        json["step"] = Json::UInt64(step.step.value());
        json["handed_over"] = step.phase == step_phase::HandedOver;
        json["generation"] = step.generation;
        json["ever_handed_over"] = step.everHandedOver;
        json["handed_version"] = Json::UInt64(step.handedVersion.value());
        json["pages"] = Json::Value(Json::arrayValue);
        for (const payload_digest& page : step.pages)
            json["pages"].append(toHex(page));
        return json;
    }

    int hexDigit(char digit)
    {
        if (digit >= '0' && digit <= '9')
            return digit - '0';
        if (digit >= 'a' && digit <= 'f')
            return digit - 'a' + 10;
        return -1;
    }

    bool fromHex(const std::string& text, payload_digest& digest)
    {
        if (text.size() != 2 * digestBytes)
            return false;
        for (std::size_t i = 0; i < digestBytes; ++i) {
            const int high = hexDigit(text[2 * i]);
            const int low = hexDigit(text[2 * i + 1]);
            if (high < 0 || low < 0)
                return false;
            digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
        }
        return true;
    }

    bool fromJson(const Json::Value& json, ledger_step& step)
    {
        if (!json.isObject() || !json["step"].isUInt64() || !json["handed_over"].isBool() || !json["generation"].isUInt())
            return false;
        if (!json["ever_handed_over"].isBool() || !json["handed_version"].isUInt64() || !json["pages"].isArray())
            return false;
        step.step = step_number(json["step"].asUInt64());
        step.phase = json["handed_over"].asBool() ? step_phase::HandedOver : step_phase::Open;
        step.generation = json["generation"].asUInt();
        step.everHandedOver = json["ever_handed_over"].asBool();
        step.handedVersion = weight_version(json["handed_version"].asUInt64());
        for (const Json::Value& page : json["pages"]) {
            payload_digest digest;
            if (!page.isString() || !fromHex(page.asString(), digest))
                return false;
            step.pages.push_back(digest);
        }
        return true;
    }

    std::string runPrefix(std::string_view prefix, const run_id& run)
    {
        return std::string(prefix) + "runs/" + run.str() + "/";
    }

} // namespace

payload_digest digestOf(std::string_view payload)
{
    std::array<std::uint8_t, SHA256_DIGEST_LENGTH> fullDigest {};
    SHA256(reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), fullDigest.data());
    payload_digest digest;
    std::copy_n(fullDigest.begin(), digestBytes, digest.bytes.begin());
    return digest;
}

std::string toHex(const payload_digest& digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : digest.bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

ledger_step* ledger_head::find(step_number step)
{
    for (ledger_step& item : steps) {
        if (item.step == step)
            return &item;
    }
    return nullptr;
}

const ledger_step* ledger_head::find(step_number step) const
{
    return const_cast<ledger_head*>(this)->find(step);
}

std::string encodeLedgerHead(const ledger_head& head)
{
    Json::Value json;
    json["fencing_number"] = Json::UInt64(head.fencing.value());
    json["trainer_version"] = Json::UInt64(head.trainerVersion.value());
    json["acknowledged"] = Json::UInt64(head.acknowledged.value());
    json["steps"] = Json::Value(Json::arrayValue);
    for (const ledger_step& step : head.steps)
        json["steps"].append(toJson(step));
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

result<ledger_head> decodeLedgerHead(std::string_view bytes)
{
    const auto parsed = parseJson(bytes);
    if (!parsed || !parsed->isObject())
        return failure(error_code::Corrupt, headStep, "not a JSON object");
    const auto& json = *parsed;
    if (!json["fencing_number"].isUInt64() || !json["trainer_version"].isUInt64() || !json["acknowledged"].isUInt64() || !json["steps"].isArray())
        return failure(error_code::Corrupt, headStep, "a field is missing or has another type");

    ledger_head head;
    head.fencing = fencing_number(json["fencing_number"].asUInt64());
    head.trainerVersion = weight_version(json["trainer_version"].asUInt64());
    head.acknowledged = step_number(json["acknowledged"].asUInt64());
    for (const Json::Value& entry : json["steps"]) {
        ledger_step step;
        if (!fromJson(entry, step))
            return failure(error_code::Corrupt, headStep, "a step is malformed");
        head.steps.push_back(std::move(step));
    }
    return head;
}

std::string encodePage(const ledger_page& page)
{
    byte_writer out;

    // Step 1. Header: format, base version and table of holder sets.
    const weight_version base = baseVersion(page);
    const std::map<holder_set, std::size_t> sets = holderSets(page);
    out.number(pageFormat);
    out.number(base.value());
    out.number(sets.size());
    for (const auto& [holders, number] : sets) {
        out.number(holders.size());
        for (const payload_holder& holder : holders) {
            out.text(holder.instance.str());
            out.number(holder.started.value());
        }
    }

    // Step 2. Records.
    out.number(page.groups.size());
    for (const group_record& group : page.groups) {
        out.number(group.group.value());
        out.digest(group.prompt);
        out.number(group.maxTokens);
        out.number(sets.at(group.holders));
    }
    out.number(page.samples.size());
    for (const sample_record& sample : page.samples)
        writeSample(out, sample, sets.at(sample.holders), base);

    // Step 3. Checksum over all bytes so far.
    out.checksum();
    return out.take();
}

result<ledger_page> decodePage(std::string_view bytes)
{
    // Step 1. Checksum.
    if (bytes.size() < checksumBytes)
        return failure(error_code::Corrupt, pageStep, "too short");
    const std::string_view body = bytes.substr(0, bytes.size() - checksumBytes);
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < checksumBytes; ++i)
        sum |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[body.size() + i])) << (8 * i);
    if (sum != XXH64(body.data(), body.size(), 0))
        return failure(error_code::Corrupt, pageStep, "checksum differs");

    // Step 2. Header.
    byte_reader in(body);
    if (in.number() != pageFormat)
        return failure(error_code::Unsupported, pageStep, "unknown page format");
    const weight_version base(in.number());
    std::vector<holder_set> sets(in.size());
    for (holder_set& holders : sets) {
        holders.resize(in.size());
        for (payload_holder& holder : holders) {
            holder.instance = instance_id(in.text());
            holder.started = incarnation(in.number());
        }
    }

    // Step 3. Records.
    ledger_page page;
    page.groups.resize(in.size());
    for (group_record& group : page.groups) {
        group.group = group_number(in.smallNumber());
        group.prompt = in.digest();
        group.maxTokens = in.smallNumber();
        const std::uint64_t holders = in.number();
        if (holders < sets.size())
            group.holders = sets[holders];
        else
            in.fail();
    }
    const std::size_t samples = in.size();
    for (std::size_t i = 0; i < samples && in.ok(); ++i)
        page.samples.push_back(readSample(in, sets, base));
    if (!in.ok() || !in.atEnd())
        return failure(error_code::Corrupt, pageStep, "records are malformed");
    return page;
}

std::size_t bytesPerSlotBound(std::size_t spans)
{
    const std::size_t fixed = 2 * smallVarintBytesMax + varintBytesMax + digestBytes + holderSetBytesMax + smallVarintBytesMax;
    return fixed + spans * (varintBytesMax + smallVarintBytesMax);
}

std::string ledgerHeadKey(std::string_view prefix, const run_id& run)
{
    return runPrefix(prefix, run) + "head";
}

std::string pagesPrefix(std::string_view prefix, const run_id& run)
{
    return runPrefix(prefix, run) + "pages/";
}

std::string stepPagesPrefix(std::string_view prefix, const run_id& run, step_number step)
{
    return pagesPrefix(prefix, run) + std::to_string(step.value()) + "/";
}

std::string pageKey(std::string_view prefix, const run_id& run, step_number step, std::size_t number)
{
    return stepPagesPrefix(prefix, run, step) + std::to_string(number);
}

// One write for each call that supplies groups, one for each full batch of sealed samples,
// one for each partial batch that is sealed after sealWait, and one each for hand-over,
// acknowledgement and published version. Several of them often share a write, so this is
// an upper bound.
std::size_t writesPerStep(std::size_t samples, std::size_t sealBatch, duration stepTime, duration sealWait, std::size_t supplyCalls)
{
    assert(sealBatch > 0 && sealWait > duration::zero());
    const std::size_t full = (samples + sealBatch - 1) / sealBatch;
    const auto waited = static_cast<std::size_t>(stepTime / sealWait);
    return supplyCalls + full + waited + 3;
}

} // namespace lovagerail
