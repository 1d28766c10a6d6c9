/** Value classes that callers, operators and the other packages share. */
package org.oatlug.api;
