// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.OptionalInt;

/**
 * What a request for generated text says of itself. Immutable.
 *
 * @param model the model that the caller names; the adapter's word for any if the system chooses
 * @param promptTokens the tokens of the prompt
 * @param maximumTokens the most tokens to be generated
 * @param prompt the parts of the prompt in their order; the last one is the request's or the
 *     session's own
 * @param lengthHint the caller's guess of the tokens that will be generated
 */
public record Generation(
    String model,
    int promptTokens,
    int maximumTokens,
    List<PromptPart> prompt,
    OptionalInt lengthHint) {
  /** Stands for a request that says nothing of itself. */
  public static final Generation UNKNOWN = new Generation("", 0, 0, List.of(), OptionalInt.empty());
}
