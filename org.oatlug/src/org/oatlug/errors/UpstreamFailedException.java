// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

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

  /**
   * Creates the failure.
   *
   * @param upstream the name of the upstream
   * @param progress how far the attempt came
   * @param problem what happened
   */
  public UpstreamFailedException(String upstream, Progress progress, String problem) {
    super(ErrorText.format(ErrorText.get().upstreamFailed, upstream, problem));
    this.upstream = upstream;
    this.progress = progress;
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
