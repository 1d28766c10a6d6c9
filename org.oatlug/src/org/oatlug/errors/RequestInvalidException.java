package org.oatlug.errors;

/** A caller's request breaks the protocol; it is not passed on. Immutable. */
public final class RequestInvalidException extends OatlugException {
  private static final long serialVersionUID = 1L;

  /** Returns a failure that names what is wrong. */
  public RequestInvalidException(String problem) {
    super(ErrorText.format(ErrorText.get().requestInvalid, problem));
  }
}
