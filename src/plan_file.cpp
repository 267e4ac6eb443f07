#include "plan_file.hpp"
#include "json_reader.hpp"

#include <json/writer.h>

#include <cstdint>

namespace mulberry
{

std::variant<plan_file, std::vector<text_fault>>
parse_plan_file(std::string_view text, std::string const& file)
{
    json_document document(text, file);
    if (!document.well_formed())
        return document.faults();
    plan_file value;
    json_object root(document, document.root(), "");
    std::size_t base = 0;
    root.read_count("base", base, {0, UINT64_MAX}, presence::required);
    root.read_text("digest", value.digest, presence::required);
    root.read_text("declaration", value.declaration, presence::required);
    root.read_object("plan", presence::required,
                     [&](Json::Value const& json, std::string const&)
                     { value.plan = json; });
    root.refuse_unknown_keys();
    if (document.sound() && digest_of(value.declaration) != value.digest)
        root.add_fault("digest", "does not match the declaration: the file was "
                                 "changed after planning; plan again");
    if (!document.sound())
        return document.faults();
    value.base = config_version(base);
    return value;
}

std::string write_plan_file(plan_file const& value)
{
    Json::Value json(Json::objectValue);
    json["base"] = static_cast<Json::UInt64>(value.base.value());
    json["digest"] = value.digest;
    json["declaration"] = value.declaration;
    json["plan"] = value.plan;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, json) + "\n";
}

} // namespace mulberry
