// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** The common parent of all failures that oatlug names. Immutable. */
public abstract class OatlugException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates a failure with a message for a person. */
  protected OatlugException(String message) {
    super(message);
  }

  /** Creates a failure with a message for a person and its cause. */
  protected OatlugException(String message, Throwable cause) {
    super(message, cause);
  }
}
