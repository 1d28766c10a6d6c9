/** Checked exceptions, one class for each kind of failure. */
package org.oatlug.errors;
