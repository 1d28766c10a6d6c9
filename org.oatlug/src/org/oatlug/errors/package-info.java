/** One checked exception class for each failure. */
package org.oatlug.errors;
