// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.Objects;
import java.util.stream.Collectors;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Object mappers for JSON and MessagePack. Immutable after creation, thread-safe. */
public final class Json {
  /** Rejects unknown fields, null for primitives, floats for integers, and trailing tokens. */
  public static final ObjectMapper STRICT =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .build();

  /** Reads and writes MessagePack; ignores unknown fields for compatibility with newer peers. */
  public static final ObjectMapper MESSAGE_PACK = messagePack();

  private Json() {}

  /** Returns the dotted path of the field that could not be read, empty for the document itself. */
  public static String pathOf(JsonMappingException failure) {
    return failure.getPath().stream()
        .map(JsonMappingException.Reference::getFieldName)
        .filter(Objects::nonNull)
        .collect(Collectors.joining("."));
  }

  private static ObjectMapper messagePack() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.registerModule(new Jdk8Module());
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    return mapper;
  }
}
