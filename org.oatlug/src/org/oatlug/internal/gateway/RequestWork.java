// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import java.util.Map;
import java.util.Optional;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.util.BoundedMap;

/**
 * Estimates the work of requests: the prompt tokens and ten times the generated ones; 1 for a
 * request that generates nothing. Where the caller states no length, the number of generated tokens
 * is the mean of its workspace on the route. Memory is bounded. Used from one event loop.
 */
final class RequestWork {
  /** The work of a generated token, in prompt tokens. */
  private static final double GENERATED_TOKEN = 10;

  private static final double PLAIN_REQUEST = 1;

  /** The assumed number of generated tokens before any response, unless the maximum is lower. */
  private static final int DEFAULT_TOKENS = 100;

  private static final double MEAN_WEIGHT = 0.1;

  private static final int MAXIMUM_MEANS = 1024;

  private final Map<String, Double> meanTokens = BoundedMap.withMaximumSize(MAXIMUM_MEANS);

  private RequestWork() {}

  /** Returns an estimate without observations. */
  static RequestWork create() {
    return new RequestWork();
  }

  /** Returns the expected work of a request. */
  double expected(AdmittedRequest request) {
    Optional<Generation> generation = request.head().generation();
    if (generation.isEmpty()) {
      return PLAIN_REQUEST;
    }
    int assumed = Math.min(generation.get().maximumTokens(), DEFAULT_TOKENS);
    double tokens =
        generation.get().lengthHint().isPresent()
            ? generation.get().lengthHint().getAsInt()
            : meanTokens.getOrDefault(keyOf(request), (double) assumed);
    return generation.get().promptTokens() + GENERATED_TOKEN * tokens;
  }

  /** Records the number of tokens that were generated for a request. */
  void recordGenerated(AdmittedRequest request, long tokens) {
    if (request.head().generation().isPresent() && tokens > 0) {
      meanTokens.merge(
          keyOf(request), (double) tokens, (mean, added) -> mean + MEAN_WEIGHT * (added - mean));
    }
  }

  private static String keyOf(AdmittedRequest request) {
    return request.route().name() + "/" + request.workspace().map(WorkspaceKeys::name).orElse("");
  }
}
