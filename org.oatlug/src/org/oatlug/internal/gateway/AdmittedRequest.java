// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.oatlug.gateway.Generation;
import org.oatlug.gateway.PromptPart;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.crash.RequestFingerprint;
import org.oatlug.internal.forward.ForwardedRequest;
import org.oatlug.internal.limit.Urgency;

/**
 * An admitted request with its whole body. Immutable.
 *
 * @param head the head
 * @param route its route
 * @param service the service chosen among the targets of the route
 * @param workspace the workspace of its key, empty on a route that needs no key
 * @param method the HTTP method
 * @param uri the path and query as received
 * @param headers the headers to forward to an upstream
 * @param body the body, empty for none
 * @param hasBody whether it has a body, which may be empty
 * @param arrived the time at which its head arrived
 * @param deadline the time by which its final answer is due
 * @param forwarded what the instance that forwards it says, empty for a caller's request
 */
record AdmittedRequest(
    RequestHead head,
    Route route,
    String service,
    Optional<WorkspaceKeys> workspace,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Body body,
    boolean hasBody,
    Instant arrived,
    Instant deadline,
    Optional<ForwardedRequest> forwarded) {
  /** The maximum length of a subject, in characters. */
  private static final int MAXIMUM_SUBJECT_LENGTH = 160;

  /** Returns the number of upstreams to which this instance may send the request. */
  int maximumAttempts() {
    return forwarded.map(ForwardedRequest::maximumAttempts).orElse(route.maximumAttempts());
  }

  /** Returns the rank of the request, 0 is the most urgent: that of its workspace or route. */
  int rank() {
    return workspace.flatMap(WorkspaceKeys::priority).orElse(route.priority());
  }

  /**
   * Returns the urgency of the request. Half of its goal is left for its way and its run: a request
   * that starts later is likely to miss its goal.
   *
   * @param retry whether it is a retry that observes its return time
   */
  Urgency urgency(boolean retry) {
    return urgencyWithStartBy(route.goalMillis() / 2, retry);
  }

  /**
   * Returns the urgency of the request while connections are refused so that requests start within
   * half of the shortest goal. An eighth of the goal is left: with half, the requests that wait
   * when connections begin to be refused would start last (611 of 980 were served in time in {@code
   * ConnectionAdmissionTest}, in place of 859).
   *
   * @param retry whether it is a retry that observes its return time
   */
  Urgency urgencyOfBoundedWait(boolean retry) {
    return urgencyWithStartBy(route.goalMillis() - route.goalMillis() / 8, retry);
  }

  private Urgency urgencyWithStartBy(long timelyStartMillis, boolean retry) {
    return new Urgency(
        rank(),
        false,
        retry,
        arrived.plusMillis(route.goalMillis()),
        arrived.plusMillis(timelyStartMillis));
  }

  /** Returns the number of the last event that the caller has, if it resumes a stream. */
  OptionalLong resumeAfter() {
    return forwarded.map(ForwardedRequest::resumeAfter).orElse(head.resumeAfter());
  }

  /** Returns the fingerprint that this request shares with the caller's repetitions of it. */
  String fingerprint() {
    return RequestFingerprint.of(head.host(), uri, workspaceName(), body.byteBuffers());
  }

  /** Returns 64 bits of the fingerprint. */
  long contentHash() {
    return RequestFingerprint.shortened(fingerprint());
  }

  /**
   * Returns the parts of the prompt that other requests may share: all but the last, which belongs
   * to the request or its session; empty if the request generates nothing.
   */
  List<PromptPart> sharedParts() {
    List<PromptPart> prompt = head.generation().map(Generation::prompt).orElse(List.of());
    return prompt.subList(0, Math.max(0, prompt.size() - 1));
  }

  /** Returns the hashes of the shared parts in hexadecimal, as callers state them. */
  List<String> sharedPartNames() {
    return sharedParts().stream().map(part -> Long.toHexString(part.hash())).toList();
  }

  /** Returns the workspace, host and path of the request for operators, possibly truncated. */
  String subject() {
    String text = workspaceName() + " " + head.host() + head.path();
    return text.substring(0, Math.min(text.length(), MAXIMUM_SUBJECT_LENGTH));
  }

  private String workspaceName() {
    return workspace.map(WorkspaceKeys::name).orElse("");
  }
}
