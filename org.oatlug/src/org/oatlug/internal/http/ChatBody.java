// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.oatlug.api.Refusal;
import org.oatlug.api.RefusalReason;
import org.oatlug.errors.ErrorText;
import org.oatlug.errors.RefusedException;
import org.oatlug.internal.util.Hashes;
import org.oatlug.internal.util.Json;

/**
 * Chat request in the OpenAI format. Immutable by convention.
 *
 * @param node the complete body
 * @param model the name of a model or a cascade
 * @param stream whether the response is streamed
 * @param promptTokens the estimated number of tokens of the prompt
 * @param prefix a hash of the start of the prompt
 */
record ChatBody(ObjectNode node, String model, boolean stream, int promptTokens, long prefix) {
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 512;

  /**
   * Parses and validates a body.
   *
   * @throws RefusedException if the body is not a chat request
   */
  static ChatBody read(Buffer buffer) throws RefusedException {
    JsonNode node = parse(buffer);
    if (!(node instanceof ObjectNode object)) {
      throw invalid("it is no JSON object");
    }
    JsonNode model = object.path("model");
    if (!model.isTextual()) {
      throw invalid("model is missing or no text");
    }
    JsonNode messages = object.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalid("messages is missing, empty or no list");
    }
    JsonNode stream = object.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw invalid("stream is neither true nor false");
    }
    String prompt = promptOf(messages);
    int tokens = prompt.length() / CHARACTERS_PER_TOKEN + 1;
    String promptStart = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
    return new ChatBody(
        object, model.asText(), stream.asBoolean(), tokens, Hashes.hash64("prefix", promptStart));
  }

  /** Returns the body to send to an engine for a version. */
  Buffer forVersion(String version) {
    ObjectNode copy = node.deepCopy();
    copy.put("model", version);
    return Buffer.buffer(copy.toString());
  }

  private static JsonNode parse(Buffer buffer) throws RefusedException {
    try {
      return Json.STRICT.readTree(buffer.getBytes());
    } catch (IOException e) {
      throw invalid("it is no JSON");
    }
  }

  private static String promptOf(JsonNode messages) throws RefusedException {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode content = message.path("content");
      if (!message.path("role").isTextual() || content.isMissingNode()) {
        throw invalid("a message has no role or content");
      }
      prompt.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return prompt.toString();
  }

  private static RefusedException invalid(String problem) {
    String text = ErrorText.format(ErrorText.get().bodyInvalid, problem);
    return new RefusedException(Refusal.notRun(RefusalReason.BODY_INVALID, text));
  }
}
