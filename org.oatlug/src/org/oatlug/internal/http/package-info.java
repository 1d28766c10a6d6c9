/** The servers that callers and operators talk to. */
package org.oatlug.internal.http;
