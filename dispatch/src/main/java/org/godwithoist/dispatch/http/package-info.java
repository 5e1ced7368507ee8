/**
 * HTTP/1.1 connections to callers and targets, one task for each. Parsing, framing and writing use
 * Apache HttpCore; this package makes no decisions about requests.
 */
package org.godwithoist.dispatch.http;
