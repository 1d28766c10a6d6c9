// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

import java.time.Duration;
import java.util.Optional;

/** An upstream that could not be reached, refused or broke off. Immutable. */
public final class UpstreamFailedException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /** How far the attempt came when it failed. */
  public enum Progress {
    /** No byte was handed to the upstream. */
    NOT_SENT,
    /** The upstream refused with an answer of its own. */
    REFUSED,
    /** Bytes were handed over; no byte of the answer came. */
    SENT,
    /** The answer broke off. */
    ANSWERING
  }

  private final String upstream;
  private final Progress progress;
  private final transient Optional<Duration> rest;

  /**
   * Creates the failure.
   *
   * @param upstream the name of the upstream
   * @param progress how far the attempt came
   * @param problem what happened
   */
  public UpstreamFailedException(String upstream, Progress progress, String problem) {
    this(upstream, progress, problem, Optional.empty());
  }

  private UpstreamFailedException(
      String upstream, Progress progress, String problem, Optional<Duration> rest) {
    super(ErrorText.format(ErrorText.get().upstreamFailed, upstream, problem));
    this.upstream = upstream;
    this.progress = progress;
    this.rest = rest;
  }

  /** Returns the failure of an attempt that the upstream refused, and may want rest after. */
  public static UpstreamFailedException refused(
      String upstream, String problem, Optional<Duration> rest) {
    return new UpstreamFailedException(upstream, Progress.REFUSED, problem, rest);
  }

  /** Returns for how long the upstream that refused wants nothing, empty if it does not ask. */
  public Optional<Duration> rest() {
    return rest;
  }

  /** Returns the name of the upstream. */
  public String upstream() {
    return upstream;
  }

  /** Returns how far the attempt came. */
  public Progress progress() {
    return progress;
  }
}
