// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

import java.time.Duration;
import java.util.Optional;

/** Signals an upstream that was unreachable, refused or aborted its response. Immutable. */
public final class UpstreamFailedException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /** The progress of an attempt at the time of its failure. */
  public enum Progress {
    /** No byte was sent to the upstream. */
    NOT_SENT,
    /** The upstream responded with a refusal. */
    REFUSED,
    /** Bytes were sent, but no byte of a response was received. */
    SENT,
    /** The response was interrupted. */
    ANSWERING
  }

  private final String upstream;
  private final Progress progress;
  private final transient Optional<Duration> retryAfter;

  /**
   * Creates the exception.
   *
   * @param upstream the name of the upstream
   * @param progress the progress of the attempt
   * @param problem a description of the failure
   */
  public UpstreamFailedException(String upstream, Progress progress, String problem) {
    this(upstream, progress, problem, Optional.empty());
  }

  private UpstreamFailedException(
      String upstream, Progress progress, String problem, Optional<Duration> retryAfter) {
    super(ErrorText.format(ErrorText.get().upstreamFailed, upstream, problem));
    this.upstream = upstream;
    this.progress = progress;
    this.retryAfter = retryAfter;
  }

  /** Returns an exception for a refusal, with the back-off that the upstream requested. */
  public static UpstreamFailedException refused(
      String upstream, String problem, Optional<Duration> retryAfter) {
    return new UpstreamFailedException(upstream, Progress.REFUSED, problem, retryAfter);
  }

  /** Returns the back-off that the upstream requested, empty if it requested none. */
  public Optional<Duration> retryAfter() {
    return retryAfter;
  }

  /** Returns the name of the upstream. */
  public String upstream() {
    return upstream;
  }

  /** Returns the progress of the attempt. */
  public Progress progress() {
    return progress;
  }
}
