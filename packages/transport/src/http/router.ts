/** Handler of a matched route and the values of its path parameters. */
export interface RouteMatch<H> {
  readonly handler: H;
  readonly params: Readonly<Record<string, string>>;
}

/** Result of a route lookup. */
export type RouteLookup<H> =
  | {readonly kind: 'found'; readonly match: RouteMatch<H>}
  | {readonly kind: 'wrong_method'}
  | {readonly kind: 'unknown_path'};

/** Entry of a route table. */
export interface Route<H> {
  /** HTTP method, or `*` for any. */
  readonly method: string;
  /**
   * Path with parameters, such as `/v1/jobs/:id`; a final `*` matches the rest
   * as parameter `rest`.
   */
  readonly pattern: string;
  readonly handler: H;
}

/** Maps methods and paths to handlers; the first matching route wins. */
export class Router<H> {
  private readonly routes: Array<{route: Route<H>; parts: string[]}>;

  constructor(routes: ReadonlyArray<Route<H>>) {
    this.routes = routes.map(route => ({
      route,
      parts: route.pattern.split('/'),
    }));
  }

  /** Looks up a method and path. */
  find(method: string, path: string): RouteLookup<H> {
    const segments = path.split('/');
    let isKnownPath = false;
    for (const {route, parts} of this.routes) {
      const params = matchParts(parts, segments);
      if (!params) continue;
      isKnownPath = true;
      if (route.method !== '*' && route.method !== method) continue;
      return {kind: 'found', match: {handler: route.handler, params}};
    }
    return {kind: isKnownPath ? 'wrong_method' : 'unknown_path'};
  }
}

const matchParts = (
  parts: readonly string[],
  segments: readonly string[],
): Record<string, string> | undefined => {
  const params: Record<string, string> = {};
  for (const [i, part] of parts.entries()) {
    if (part === '*') {
      params['rest'] = `/${segments.slice(i).join('/')}`;
      return params;
    }
    const value = segments[i];
    if (value === undefined) return undefined;
    if (part.startsWith(':')) params[part.slice(1)] = decodeSafely(value);
    else if (part !== value) return undefined;
  }
  return segments.length === parts.length ? params : undefined;
};

const decodeSafely = (text: string): string => {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
};
