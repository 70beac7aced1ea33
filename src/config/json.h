// RapidJSON behind a few types; every failure names the place (design.md 10.1).
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "stonemount.h"

namespace stonemount {

using JsonValue = rapidjson::Value;
using JsonDocument = rapidjson::Document;

struct BadJson {
  std::size_t offset = 0;
};
using JsonVerdict = std::variant<JsonDocument, BadJson>;
JsonVerdict parseJson(const std::string& text);
std::string jsonText(const JsonValue& value);       // as given
std::string canonicalJson(const JsonValue& value);  // members sorted, no spaces

std::string jsonString(const JsonValue& object, const char* name, std::string otherwise = "");
std::int64_t jsonNumber(const JsonValue& object, const char* name, std::int64_t otherwise = 0);
bool jsonFlag(const JsonValue& object, const char* name, bool otherwise = false);

struct SchemaFault {
  std::string field;    // a JSON pointer
  std::string keyword;  // the rule that it broke
};
// Checks a document against a schema that is part of the program.
std::optional<SchemaFault> checkSchema(const char* schema, const JsonValue& value);

// Writes JSON straight down.
class JsonOut {
 public:
  JsonOut() : writer_(buffer_) {}
  JsonOut& object() {
    writer_.StartObject();
    return *this;
  }
  JsonOut& closeObject() {
    writer_.EndObject();
    return *this;
  }
  JsonOut& array() {
    writer_.StartArray();
    return *this;
  }
  JsonOut& closeArray() {
    writer_.EndArray();
    return *this;
  }
  JsonOut& key(const std::string& name) {
    writer_.Key(name.c_str(), static_cast<unsigned>(name.size()));
    return *this;
  }
  JsonOut& text(const std::string& value) {
    writer_.String(value.c_str(), static_cast<unsigned>(value.size()));
    return *this;
  }
  JsonOut& number(std::int64_t value) {
    writer_.Int64(value);
    return *this;
  }
  JsonOut& flag(bool value) {
    writer_.Bool(value);
    return *this;
  }
  JsonOut& raw(const std::string& json) {
    writer_.RawValue(json.c_str(), json.size(), rapidjson::kObjectType);
    return *this;
  }
  JsonOut& field(const std::string& name, const std::string& value) { return key(name).text(value); }
  JsonOut& field(const std::string& name, const char* value) { return key(name).text(value); }
  JsonOut& field(const std::string& name, bool value) { return key(name).flag(value); }
  template <class Number>
  requires std::is_integral_v<Number> JsonOut& field(const std::string& name, Number value) {
    return key(name).number(static_cast<std::int64_t>(value));
  }
  std::string take() const { return std::string(buffer_.GetString(), buffer_.GetSize()); }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

}  // namespace stonemount
