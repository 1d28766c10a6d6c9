// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** The base class of all checked exceptions of oatlug. Immutable. */
public abstract class OatlugException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a human-readable message. */
  protected OatlugException(String message) {
    super(message);
  }

  /** Creates an exception with a human-readable message and a cause. */
  protected OatlugException(String message, Throwable cause) {
    super(message, cause);
  }
}
