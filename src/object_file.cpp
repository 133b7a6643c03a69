// Reads the operators' TOML file: a visitor fills the fields of each object from its table.
#include "object_file.h"

#include "toml_text.h"

#include "object_fields.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace lovagerail {

namespace {

    std::string_view typeName(const toml::node& node)
    {
        switch (node.type()) {
        case toml::node_type::string:
            return "text";
        case toml::node_type::integer:
            return "a whole number";
        case toml::node_type::floating_point:
            return "a number with a fraction";
        case toml::node_type::boolean:
            return "true or false";
        case toml::node_type::array:
            return "a list";
        case toml::node_type::table:
            return "a table";
        default:
            return "a date or time";
        }
    }

    void addFault(std::vector<file_fault>& faults, const toml::source_region& region, std::string field, std::string expected)
    {
        faults.push_back({ region.begin.line, region.begin.column, std::move(field), std::move(expected) });
    }

    // Visitor that fills the fields from one table, and collects the known field names.
    class toml_reader {
    public:
        toml_reader(const toml::table& from, std::string path, std::vector<file_fault>& faults)
            : m_from(from)
            , m_path(std::move(path))
            , m_faults(faults)
        {
        }

        template <typename Member>
        void field(const char* name, Member& to)
        {
            if (const auto* node = takeField(name))
                read(name, *node, to);
        }

        template <typename Table>
        void table(const char* name, Table& nested)
        {
            const auto* node = takeField(name);
            if (!node)
                return;
            const auto* inner = node->as_table();
            if (!inner) {
                reportMismatch(name, *node, "a table");
                return;
            }
            toml_reader reader(*inner, m_path + name + ".", m_faults);
            detail::visitFields(reader, nested);
            reader.reportUnknown();
        }

        void labelsField(const char* name, labels& to)
        {
            const auto* node = takeField(name);
            if (!node)
                return;
            const auto* inner = node->as_table();
            if (!inner) {
                reportMismatch(name, *node, "a table of texts");
                return;
            }
            for (const auto& [key, value] : *inner) {
                std::string text;
                const std::string path = std::string(name) + "." + std::string(key.str());
                read(path.c_str(), value, text);
                if (!isLabelKey(key.str()))
                    addFault(m_faults, key.source(), m_path + path, "expected a label key of letters, digits and -_./, at most 63");
                else if (!isLabelValue(text))
                    addFault(m_faults, value.source(), m_path + path, "expected a label value of letters, digits and -_./, at most 63");
                to[std::string(key.str())] = std::move(text);
            }
        }

        void reportUnknown()
        {
            for (const auto& [key, value] : m_from) {
                if (m_known.contains(key.str()))
                    continue;
                std::string choices;
                for (const auto& name : m_known)
                    choices += (choices.empty() ? "" : ", ") + name;
                addFault(m_faults, key.source(), m_path + std::string(key.str()), "unknown field; expected one of " + choices);
            }
        }

    private:
        const toml::node* takeField(const char* name)
        {
            m_known.insert(name);
            return m_from.get(name);
        }

        void reportMismatch(const char* name, const toml::node& node, const std::string& expected)
        {
            addFault(m_faults, node.source(), m_path + name, "expected " + expected + ", found " + std::string(typeName(node)));
        }

        void read(const char* name, const toml::node& node, std::string& to)
        {
            if (const auto* value = node.as_string())
                to = value->get();
            else
                reportMismatch(name, node, "text");
        }

        void read(const char* name, const toml::node& node, bool& to)
        {
            if (const auto* value = node.as_boolean())
                to = value->get();
            else
                reportMismatch(name, node, "true or false");
        }

        void read(const char* name, const toml::node& node, double& to)
        {
            if (const auto value = node.value<double>(); value && node.is_number())
                to = *value;
            else
                reportMismatch(name, node, "a number");
        }

        template <typename Number>
        requires std::is_integral_v<Number>
        void read(const char* name, const toml::node& node, Number& to)
        {
            const auto* value = node.as_integer();
            if (!value) {
                reportMismatch(name, node, "a whole number");
                return;
            }
            if (!std::in_range<Number>(value->get())) {
                constexpr bool negativeToo = std::is_signed_v<Number>;
                addFault(m_faults, node.source(), m_path + name,
                    std::string("expected a whole number ") + (negativeToo ? "of 32 bits" : "from 0") + ", found " + std::to_string(value->get()));
                return;
            }
            to = static_cast<Number>(value->get());
        }

        void read(const char* name, const toml::node& node, micro_price& to)
        {
            std::int64_t number = to.count();
            read(name, node, number);
            to = micro_price(number);
        }

        void read(const char* name, const toml::node& node, weight_version& to)
        {
            std::uint64_t number = to.value();
            read(name, node, number);
            to = weight_version(number);
        }

        void read(const char* name, const toml::node& node, selector& to)
        {
            std::string text;
            read(name, node, text);
            to = selector::parseLenient(text);
            if (to.fault())
                addFault(m_faults, node.source(), m_path + name, "expected a selector: " + to.fault()->detail);
        }

        template <typename Tag>
        void read(const char* name, const toml::node& node, name_id<Tag>& to)
        {
            std::string text;
            read(name, node, text);
            to = name_id<Tag>(std::move(text));
        }

        template <typename Enum>
        requires std::is_enum_v<Enum>
        void read(const char* name, const toml::node& node, Enum& to)
        {
            const auto* value = node.as_string();
            if (!value)
                reportMismatch(name, node, "one of " + detail::enumChoices<Enum>());
            else if (!detail::parseEnum(value->get(), to))
                addFault(m_faults, node.source(), m_path + name, "expected one of " + detail::enumChoices<Enum>() + ", found \"" + value->get() + "\"");
        }

        template <typename Item>
        void read(const char* name, const toml::node& node, std::vector<Item>& to)
        {
            const auto* list = node.as_array();
            if (!list) {
                reportMismatch(name, node, "a list");
                return;
            }
            to.clear();
            for (const auto& entry : *list)
                read(name, entry, to.emplace_back());
        }

        const toml::table& m_from;
        std::string m_path;
        std::vector<file_fault>& m_faults;
        std::set<std::string, std::less<>> m_known;
    };

    void readObject(object_kind kind, const toml::table& from, std::set<std::string>& names, object_file& to)
    {
        const std::string kindName(toString(kind));
        auto object = detail::emptyObject(kind);
        auto& meta = metaOf(object);
        toml_reader reader(from, kindName + ".", to.faults);
        reader.field("name", meta.name);
        reader.labelsField("labels", meta.labels);
        std::visit([&](auto& typedObject) { detail::visitFields(reader, typedObject); }, object);
        reader.reportUnknown();

        const auto* name = from.get("name");
        if (!name)
            addFault(to.faults, from.source(), kindName + ".name", "expected a name");
        else if (name->is_string() && !isObjectName(meta.name))
            addFault(to.faults, name->source(), kindName + ".name", "expected letters, digits, '-', '_' and '.'");
        else if (name->is_string() && !names.insert(meta.name).second)
            addFault(to.faults, name->source(), kindName + ".name", "expected a name of its own; \"" + meta.name + "\" is there already");
        to.objects.push_back(std::move(object));
    }

    void readKind(object_kind kind, const toml::node& node, object_file& to)
    {
        const std::string kindName(toString(kind));
        const auto* list = node.as_array();
        if (!list) {
            addFault(to.faults, node.source(), kindName, "expected [[" + kindName + "]], found " + std::string(typeName(node)));
            return;
        }
        std::set<std::string> names;
        for (const auto& entry : *list) {
            if (const auto* table = entry.as_table())
                readObject(kind, *table, names, to);
            else
                addFault(to.faults, entry.source(), kindName, "expected a table, found " + std::string(typeName(entry)));
        }
    }

} // namespace

std::string toString(const file_fault& fault, std::string_view fileName)
{
    std::string text = std::string(fileName) + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column) + ": ";
    if (!fault.field.empty())
        text += fault.field + ": ";
    return text + fault.expected;
}

object_file readObjects(std::string_view toml)
{
    object_file file;
    const auto parsed = parseToml(toml);
    if (!parsed) {
        file.faults.push_back({ parsed.error().line, parsed.error().column, {}, "expected TOML: " + parsed.error().what });
        return file;
    }
    const toml::table& root = *parsed;

    // Step 1. Report tables of unknown kinds.
    std::string kindNames;
    std::set<std::string, std::less<>> kinds;
    for (std::size_t i = 0; i < objectKindCount; ++i) {
        kinds.emplace(toString(static_cast<object_kind>(i)));
        kindNames += (kindNames.empty() ? "" : ", ") + std::string(toString(static_cast<object_kind>(i)));
    }
    for (const auto& [key, value] : root) {
        if (!kinds.contains(key.str()))
            addFault(file.faults, key.source(), std::string(key.str()), "unknown kind; expected one of " + kindNames);
    }

    // Step 2. Read the objects of each kind.
    for (std::size_t i = 0; i < objectKindCount; ++i) {
        const auto kind = static_cast<object_kind>(i);
        if (const auto* node = root.get(toString(kind)))
            readKind(kind, *node, file);
    }
    std::stable_sort(file.faults.begin(), file.faults.end(),
        [](const file_fault& a, const file_fault& b) { return std::tie(a.line, a.column) < std::tie(b.line, b.column); });
    return file;
}

} // namespace lovagerail
