// JSON codec of objects: one visitor writes the fields, another reads them.
#include "object_codec.h"

#include "object_fields.h"

#include <json/reader.h>
#include <json/writer.h>
#include <limits>
#include <memory>
#include <set>
#include <sstream>
#include <utility>

namespace lovagerail {

namespace {

    constexpr std::string_view step = "objects.decode";
    constexpr int nestingLimit = 64;

    // To be called before the known fields are written, so that a known field always wins.
    void writeUnknown(Json::Value& to, const unknown_fields& fields)
    {
        for (const auto& [name, text] : fields) {
            auto value = parseJson(text, step);
            if (value)
                to[name] = std::move(*value);
        }
    }

    class json_writer {
    public:
        explicit json_writer(Json::Value& to)
            : m_to(to)
        {
        }

        void field(const char* name, const std::string& value) { m_to[name] = value; }
        void field(const char* name, bool value) { m_to[name] = value; }
        void field(const char* name, double value) { m_to[name] = value; }
        void field(const char* name, std::int32_t value) { m_to[name] = value; }
        void field(const char* name, std::uint32_t value) { m_to[name] = value; }
        void field(const char* name, std::uint64_t value) { m_to[name] = Json::UInt64(value); }
        void field(const char* name, micro_price value) { m_to[name] = Json::Int64(value.count()); }
        void field(const char* name, weight_version value) { m_to[name] = Json::UInt64(value.value()); }
        void field(const char* name, const selector& value) { m_to[name] = value.text(); }

        template <typename Tag>
        void field(const char* name, const name_id<Tag>& value) { m_to[name] = value.str(); }

        template <typename Enum>
        requires std::is_enum_v<Enum>
        void field(const char* name, Enum value) { m_to[name] = std::string(toString(value)); }

        template <typename Item>
        void field(const char* name, const std::vector<Item>& values)
        {
            Json::Value list(Json::arrayValue);
            for (const auto& item : values) {
                // field() writes only named members, so each item goes through a temporary object.
                Json::Value temporary(Json::objectValue);
                json_writer(temporary).field("item", item);
                list.append(temporary["item"]);
            }
            m_to[name] = std::move(list);
        }

        template <typename Table>
        void table(const char* name, const Table& nested)
        {
            Json::Value inner(Json::objectValue);
            writeUnknown(inner, nested.unknown);
            json_writer writer(inner);
            detail::visitFields(writer, nested);
            m_to[name] = std::move(inner);
        }

    private:
        Json::Value& m_to;
    };

    // Visitor that reads the known fields, collects their names, and keeps the first error.
    class json_reader {
    public:
        json_reader(const Json::Value& from, std::string path)
            : m_from(from)
            , m_path(std::move(path))
        {
        }

        void field(const char* name, std::string& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isString(), name, "text"))
                to = value->asString();
        }

        void field(const char* name, bool& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isBool(), name, "true or false"))
                to = value->asBool();
        }

        void field(const char* name, double& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isNumeric(), name, "a number"))
                to = value->asDouble();
        }

        void field(const char* name, std::int32_t& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isInt(), name, "a whole number of 32 bits"))
                to = value->asInt();
        }

        void field(const char* name, std::uint32_t& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isUInt(), name, "a whole number of 32 bits, not negative"))
                to = value->asUInt();
        }

        void field(const char* name, std::uint64_t& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isUInt64(), name, "a whole number, not negative"))
                to = value->asUInt64();
        }

        void field(const char* name, micro_price& to)
        {
            const auto* value = takeField(name);
            if (value && expect(value->isInt64(), name, "a whole number"))
                to = micro_price(value->asInt64());
        }

        void field(const char* name, weight_version& to)
        {
            std::uint64_t number = to.value();
            field(name, number);
            to = weight_version(number);
        }

        void field(const char* name, selector& to)
        {
            std::string text = to.text();
            field(name, text);
            to = selector::parseLenient(text);
        }

        template <typename Tag>
        void field(const char* name, name_id<Tag>& to)
        {
            std::string text = to.str();
            field(name, text);
            to = name_id<Tag>(std::move(text));
        }

        template <typename Enum>
        requires std::is_enum_v<Enum>
        void field(const char* name, Enum& to)
        {
            std::string text(toString(to));
            field(name, text);
            expect(detail::parseEnum(text, to), name, "one of " + detail::enumChoices<Enum>());
        }

        template <typename Item>
        void field(const char* name, std::vector<Item>& to)
        {
            const auto* value = takeField(name);
            if (!value || !expect(value->isArray(), name, "a list"))
                return;
            to.clear();
            for (const auto& entry : *value) {
                Json::Value holder(Json::objectValue);
                holder["item"] = entry;
                json_reader inner(holder, m_path + name + ".");
                inner.field("item", to.emplace_back());
                keepFaultOf(inner);
            }
        }

        template <typename Table>
        void table(const char* name, Table& nested)
        {
            const auto* value = takeField(name);
            if (!value || !expect(value->isObject(), name, "a table"))
                return;
            json_reader inner(*value, m_path + name + ".");
            detail::visitFields(inner, nested);
            nested.unknown = inner.unknownFields();
            keepFaultOf(inner);
        }

        void labelsField(const char* name, labels& to)
        {
            const auto* value = takeField(name);
            if (!value || !expect(value->isObject(), name, "a table"))
                return;
            for (const auto& key : value->getMemberNames()) {
                const auto& entry = (*value)[key];
                if (expect(entry.isString(), name, "text as each value"))
                    to[key] = entry.asString();
            }
        }

        // The unknown fields: those that no visited name matched.
        unknown_fields unknownFields() const
        {
            unknown_fields fields;
            for (const auto& name : m_from.getMemberNames()) {
                if (!m_known.contains(name))
                    fields[name] = toText(m_from[name]);
            }
            return fields;
        }

        const std::string& fault() const { return m_fault; }

    private:
        const Json::Value* takeField(const char* name)
        {
            m_known.insert(name);
            return m_from.isMember(name) ? &m_from[name] : nullptr;
        }

        bool expect(bool holds, const char* name, const std::string& expected)
        {
            if (!holds && m_fault.empty())
                m_fault = m_path + name + ": expected " + expected;
            return holds;
        }

        void keepFaultOf(const json_reader& inner)
        {
            if (m_fault.empty())
                m_fault = inner.m_fault;
        }

        const Json::Value& m_from; // an object
        std::string m_path;
        std::set<std::string> m_known;
        std::string m_fault; // the first error; empty if there is none
    };

    // Appends a line for each field that differs, nested ones with their path.
    void compare(const std::string& path, const Json::Value& before, const Json::Value& after, std::vector<std::string>& lines)
    {
        if (before == after)
            return;
        if (!before.isObject() || !after.isObject()) {
            const auto shown = [](const Json::Value& value) { return value.isNull() ? std::string("(none)") : toText(value); };
            lines.push_back(path + ": " + shown(before) + " -> " + shown(after));
            return;
        }
        std::set<std::string> names;
        for (const auto& name : before.getMemberNames())
            names.insert(name);
        for (const auto& name : after.getMemberNames())
            names.insert(name);
        const std::string prefix = path.empty() ? path : path + ".";
        for (const auto& name : names)
            compare(prefix + name, before.get(name, Json::Value()), after.get(name, Json::Value()), lines);
    }

    result<config_object> corrupt(std::string detail)
    {
        return failure(error_code::Corrupt, step, std::move(detail));
    }

} // namespace

Json::Value toJson(const config_object& object)
{
    Json::Value value(Json::objectValue);
    const auto& meta = metaOf(object);
    writeUnknown(value, meta.unknown);
    value["name"] = meta.name;
    value["labels"] = Json::Value(Json::objectValue);
    for (const auto& [key, text] : meta.labels)
        value["labels"][key] = text;
    json_writer writer(value);
    std::visit([&](const auto& typedObject) { detail::visitFields(writer, typedObject); }, object);
    return value;
}

result<config_object> objectFromJson(object_kind kind, const Json::Value& value)
{
    if (!value.isObject())
        return corrupt(std::string(toString(kind)) + ": expected a table");
    config_object object = detail::emptyObject(kind);
    auto& meta = metaOf(object);
    json_reader reader(value, std::string(toString(kind)) + ".");
    reader.field("name", meta.name);
    reader.labelsField("labels", meta.labels);
    std::visit([&](auto& typedObject) { detail::visitFields(reader, typedObject); }, object);
    if (!reader.fault().empty())
        return corrupt(reader.fault());
    if (!isObjectName(meta.name))
        return corrupt(std::string(toString(kind)) + ".name: expected letters, digits, '-', '_' and '.'");
    meta.unknown = reader.unknownFields();
    return object;
}

Json::Value toEnvelope(const config_object& object)
{
    const auto& stamp = metaOf(object).changed;
    Json::Value value(Json::objectValue);
    value["kind"] = std::string(toString(kindOf(object)));
    value["by"] = stamp.by;
    value["when"] = Json::Int64(stamp.when.time_since_epoch().count());
    if (stamp.at != revision())
        value["at"] = Json::UInt64(stamp.at.value());
    value["object"] = toJson(object);
    return value;
}

result<config_object> objectFromEnvelope(const Json::Value& value)
{
    if (!value.isObject() || !value["kind"].isString() || !value["by"].isString() || !value["when"].isInt64())
        return corrupt("expected an envelope with kind, by, when and object");
    if (value.isMember("at") && !value["at"].isUInt64())
        return corrupt("at: expected a revision");
    const auto kind = parseObjectKind(value["kind"].asString());
    if (!kind)
        return tl::unexpected(kind.error());
    auto object = objectFromJson(*kind, value["object"]);
    if (!object)
        return object;
    auto& stamp = metaOf(*object).changed;
    stamp.by = value["by"].asString();
    stamp.when = wall_time(std::chrono::milliseconds(value["when"].asInt64()));
    stamp.at = revision(value.get("at", Json::UInt64(0)).asUInt64());
    return object;
}

bool sameContent(const config_object& left, const config_object& right)
{
    return left.index() == right.index() && toJson(left) == toJson(right);
}

std::vector<std::string> fieldDifferences(const config_object& before, const config_object& after)
{
    std::vector<std::string> lines;
    compare({}, toJson(before), toJson(after), lines);
    return lines;
}

std::string toText(const Json::Value& value)
{
    // Constructing a writer costs more than writing a small object, so each thread keeps one.
    thread_local const std::unique_ptr<Json::StreamWriter> writer = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
    }();
    std::ostringstream text;
    writer->write(value, &text);
    return std::move(text).str();
}

result<Json::Value> parseJson(std::string_view text, std::string_view atStep)
{
    thread_local const std::unique_ptr<Json::CharReader> reader = [] {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["strictRoot"] = false;
        builder["stackLimit"] = nestingLimit;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }();
    Json::Value value;
    std::string faults;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &faults))
            return value;
    } catch (const std::exception& tooDeep) {
        faults = tooDeep.what();
    }
    // The parser's messages contain positions, but no input.
    return failure(error_code::Corrupt, atStep, "invalid JSON: " + faults.substr(0, faults.find('\n')));
}

} // namespace lovagerail
