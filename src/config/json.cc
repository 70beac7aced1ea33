#include "config/json.h"

#include <rapidjson/schema.h>

#include <algorithm>

namespace stonemount {

JsonVerdict parseJson(const std::string& text) {
  JsonDocument document;
  // Iterative, so that depth in the text is no depth on the stack.
  // In full precision, so that a fraction that is told again is the one that was given.
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                 rapidjson::kParseFullPrecisionFlag>(text.c_str(), text.size());
  if (document.HasParseError()) return BadJson{document.GetErrorOffset()};
  return document;
}

std::string jsonText(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return std::string(buffer.GetString(), buffer.GetSize());
}

namespace {
using NamedValue = std::pair<std::string, const JsonValue*>;
struct ByName {
  bool operator()(const NamedValue& left, const NamedValue& right) const { return left.first < right.first; }
};
void writeCanonical(const JsonValue& value, rapidjson::Writer<rapidjson::StringBuffer>& writer) {
  if (value.IsObject()) {
    std::vector<NamedValue> members;
    for (const auto& member : value.GetObject())
      members.emplace_back(std::string(member.name.GetString(), member.name.GetStringLength()), &member.value);
    std::stable_sort(members.begin(), members.end(), ByName());
    writer.StartObject();
    for (const auto& [name, member] : members) {
      writer.Key(name.c_str(), static_cast<unsigned>(name.size()));
      writeCanonical(*member, writer);
    }
    writer.EndObject();
  } else if (value.IsArray()) {
    writer.StartArray();
    for (const JsonValue& element : value.GetArray()) writeCanonical(element, writer);
    writer.EndArray();
  } else {
    value.Accept(writer);
  }
}
}  // namespace

std::string canonicalJson(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writeCanonical(value, writer);
  return std::string(buffer.GetString(), buffer.GetSize());
}

std::string jsonString(const JsonValue& object, const char* name, std::string otherwise) {
  if (!object.IsObject()) return otherwise;
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsString()) return otherwise;
  return std::string(found->value.GetString(), found->value.GetStringLength());
}

std::int64_t jsonNumber(const JsonValue& object, const char* name, std::int64_t otherwise) {
  if (!object.IsObject()) return otherwise;
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsInt64()) return otherwise;
  return found->value.GetInt64();
}

bool jsonFlag(const JsonValue& object, const char* name, bool otherwise) {
  if (!object.IsObject()) return otherwise;
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsBool()) return otherwise;
  return found->value.GetBool();
}

namespace {
std::string pointerText(const rapidjson::Pointer& pointer) {
  rapidjson::StringBuffer buffer;
  pointer.Stringify(buffer);
  const std::string text(buffer.GetString(), buffer.GetSize());
  return text.empty() ? "/" : text;
}
}  // namespace

std::optional<SchemaFault> checkSchema(const char* schema, const JsonValue& value) {
  JsonDocument rules;
  rules.Parse(schema);
  STONEMOUNT_INVARIANT(!rules.HasParseError());
  const rapidjson::SchemaDocument compiled(rules);
  rapidjson::SchemaValidator validator(compiled);
  if (value.Accept(validator)) return std::nullopt;
  SchemaFault fault;
  fault.field = pointerText(validator.GetInvalidDocumentPointer());
  fault.keyword = validator.GetInvalidSchemaKeyword();
  // Name the member itself, not just the object that holds it.
  const JsonValue* rule = validator.GetInvalidSchemaPointer().Get(rules);
  const JsonValue* object = validator.GetInvalidDocumentPointer().Get(value);
  if (rule == nullptr || object == nullptr || !object->IsObject() || !rule->IsObject()) return fault;
  std::string member;
  if (fault.keyword == "required") {
    for (const JsonValue& name : (*rule)["required"].GetArray())
      if (member.empty() && !object->HasMember(name)) member = name.GetString();
  } else if (fault.keyword == "additionalProperties") {
    for (const auto& given : object->GetObject())
      if (member.empty() && !(*rule)["properties"].HasMember(given.name)) member = given.name.GetString();
  }
  if (!member.empty()) fault.field += (fault.field == "/" ? "" : "/") + member;
  return fault;
}

}  // namespace stonemount
