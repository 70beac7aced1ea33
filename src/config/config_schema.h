// The shape of what an operator pushes in the product's own terms (design.md 7.2, 10.1).
#pragma once

namespace stonemount {

constexpr char kConfigSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["base"],
  "properties": {
    "base": {"type": "integer", "minimum": 0},
    "next": {"type": "integer", "minimum": 1, "maximum": 4611686018427387904},
    "note": {"type": "string", "maxLength": 200},
    "remove": {"type": "array", "maxItems": 20000, "items": {"type": "string"}},
    "removePools": {"type": "array", "maxItems": 1000, "items": {"type": "string"}},
    "removeTenants": {"type": "array", "maxItems": 20000, "items": {"type": "string"}},
    "routes": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "kind"],
        "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]*$", "maxLength": 80},
          "kind": {"type": "string", "enum": ["stream", "lookup", "whole"]},
          "pool": {"type": "string", "minLength": 1, "maxLength": 40},
          "limitUs": {"type": "integer", "minimum": 1000, "maximum": 3600000000},
          "prefixBytes": {"type": "integer", "minimum": 0, "maximum": 65536},
          "adapter": {"type": "string", "maxLength": 80},
          "lots": {"type": "boolean"},
          "when": {"type": "string", "minLength": 1, "maxLength": 300},
          "otherwise": {"type": "string", "minLength": 1, "maxLength": 80},
          "host": {"type": "string", "minLength": 1, "maxLength": 253},
          "prefix": {"type": "string", "pattern": "^/(.*/)?$", "maxLength": 1000},
          "shares": {
            "type": "array",
            "maxItems": 100,
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": ["pool", "weight"],
              "properties": {
                "pool": {"type": "string", "minLength": 1, "maxLength": 40},
                "weight": {"type": "integer", "minimum": 0, "maximum": 1000000}
              }
            }
          },
          "targetUs": {"type": "integer", "minimum": 0, "maximum": 3600000000},
          "gapTargetUs": {"type": "integer", "minimum": 0, "maximum": 3600000000},
          "completionUs": {"type": "integer", "minimum": 0, "maximum": 864000000000},
          "retentionUs": {"type": "integer", "minimum": 0, "maximum": 864000000000},
          "mostQueuedTokens": {"type": "integer", "minimum": 0, "maximum": 1000000000000000},
          "attempts": {"type": "integer", "minimum": 0, "maximum": 1000},
          "precedence": {"type": "integer", "minimum": 0, "maximum": 1000},
          "affinity": {"type": "boolean"},
          "resumable": {"type": "boolean"},
          "open": {"type": "boolean"}
        }
      }
    },
    "pools": {
      "type": "array",
      "maxItems": 1000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"type": "string", "minLength": 1, "maxLength": 40},
          "healthPath": {"type": "string", "pattern": "^/", "maxLength": 1000},
          "mostChannels": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "warmUs": {"type": "integer", "minimum": 0, "maximum": 3600000000},
          "warmPerKs": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
          "slots": {"type": "integer", "minimum": 0, "maximum": 1000000},
          "cacheTokens": {"type": "integer", "minimum": 0, "maximum": 1000000000000}
        }
      }
    },
    "tenants": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"type": "string", "minLength": 1, "maxLength": 250},
          "keys": {"type": "array", "maxItems": 1000, "items": {"type": "string", "minLength": 1, "maxLength": 4000}},
          "precedence": {"type": "integer", "minimum": 0, "maximum": 1000},
          "ratePerKs": {"type": "integer", "minimum": 0, "maximum": 1000000000000},
          "burst": {"type": "integer", "minimum": 0, "maximum": 1000000000}
        }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "headerBytes": {"type": "integer", "minimum": 256, "maximum": 262144},
        "bodyBytes": {"type": "integer", "minimum": 0, "maximum": 67108864},
        "headerUs": {"type": "integer", "minimum": 1000, "maximum": 3600000000},
        "idleUs": {"type": "integer", "minimum": 1000, "maximum": 3600000000}
      }
    }
  }
})";

}  // namespace stonemount
