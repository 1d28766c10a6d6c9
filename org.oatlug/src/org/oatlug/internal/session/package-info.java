/** Signed session tokens. */
package org.oatlug.internal.session;
