/** HTTP servers for callers and operators. */
package org.oatlug.internal.http;
