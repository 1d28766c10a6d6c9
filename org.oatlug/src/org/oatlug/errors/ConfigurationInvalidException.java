// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** Signals an object whose content violates a rule of its kind. Immutable. */
public final class ConfigurationInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String path;

  /**
   * Creates the exception.
   *
   * @param path the path of the invalid object or field
   * @param problem a human-readable description of the problem
   */
  public ConfigurationInvalidException(String path, String problem) {
    super(ErrorText.format(ErrorText.get().configurationInvalid, path, problem));
    this.path = path;
  }

  /** Returns the path of the invalid object or field. */
  public String path() {
    return path;
  }
}
