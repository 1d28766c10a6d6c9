// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import java.util.List;
import java.util.OptionalInt;

/**
 * Parameters of a request for generated text. Immutable.
 *
 * @param model the model that the caller requests, or the adapter's wildcard if the system chooses
 * @param promptTokens the length of the prompt in tokens
 * @param maximumTokens the maximum number of generated tokens
 * @param prompt the parts of the prompt in order; the last part is specific to the request or the
 *     session
 * @param lengthHint the caller's estimate of the number of generated tokens
 */
public record Generation(
    String model,
    int promptTokens,
    int maximumTokens,
    List<PromptPart> prompt,
    OptionalInt lengthHint) {
  /** Placeholder for a request without generation parameters. */
  public static final Generation UNKNOWN = new Generation("", 0, 0, List.of(), OptionalInt.empty());
}
