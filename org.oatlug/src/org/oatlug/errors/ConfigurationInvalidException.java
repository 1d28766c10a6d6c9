// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.errors;

/** An object whose content breaks a rule of its kind. Immutable. */
public final class ConfigurationInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  private final String path;

  /**
   * Creates the failure.
   *
   * @param path the object and field at fault
   * @param problem what is wrong, for a person
   */
  public ConfigurationInvalidException(String path, String problem) {
    super(ErrorText.format(ErrorText.get().configurationInvalid, path, problem));
    this.path = path;
  }

  /** Returns the object and field at fault. */
  public String path() {
    return path;
  }
}
